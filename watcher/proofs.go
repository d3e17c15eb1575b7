package watcher

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
)

const (
	// waitsPerBound is how many times a read of the configuration that proves it to be the newest waits in the staleness bound.
	waitsPerBound = 10
	// minProvingWaitMS is the shortest such wait in milliseconds; it bounds the calls of one node to 20 a second.
	minProvingWaitMS = 50
)

// ProveWithin makes the watcher record in keeper what its reads of the configuration prove, often enough for a staleness bound of keys; with 0, its
// reads stay as they are. It must be called before Run.
func (w *Watcher) ProveWithin(revoke time.Duration, keeper *freshkeeper.Keeper) {
	w.fresh = keeper
	if revoke > 0 {
		w.provingWaitMS = min(max(revoke.Milliseconds()/waitsPerBound, minProvingWaitMS), catalogWaitMS)
	}
}

// configurationTable returns how the configuration is followed. With a staleness bound, a feed that does not respond is given up soon.
func (w *Watcher) configurationTable() tableReader {
	table := tableReader{name: "configuration", list: w.listCatalog, feed: w.feedCatalog, waitMS: catalogWaitMS, marginMS: maxReadTime.Milliseconds()}
	if w.provingWaitMS > 0 {
		table.waitMS, table.marginMS, table.proves = w.provingWaitMS, responseMargin.Milliseconds(), true
	}
	return table
}

// beginRead records that a read of the configuration is about to be sent, and returns the time by the boot clock.
func (w *Watcher) beginRead() time.Time {
	sentAt := timekeeper.Now()
	w.fresh.Begin(sentAt)
	return sentAt
}

// readCatalog reads the whole configuration and puts it in force.
func (w *Watcher) readCatalog(deadline time.Time) (Configuration, error) {
	sentAt := w.beginRead()
	configuration, err := w.source.ListCatalog(deadline)
	if err == nil {
		w.applyCatalog(configuration.Catalog)
		w.fresh.Complete(sentAt, versionOf(configuration.Catalog), true)
	}
	return configuration, err
}

// versionOf returns the version of a configuration, or 0 for none.
func versionOf(catalog *cataloger.Catalog) int64 {
	if catalog == nil {
		return 0
	}
	return catalog.Version()
}

// renewIn returns the time until this node must read the configuration itself although a leader reads the list of workers for it.
func (w *Watcher) renewIn() time.Duration { return w.fresh.RenewAt().Sub(timekeeper.Now()) }
