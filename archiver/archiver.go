// Package archiver keeps the origins of streams in the store while a service has workers of
// several software versions, so that they outlive all nodes.
package archiver

import (
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

const (
	// writeInterval is the pause between two writes; a stream that began less than this before all
	// nodes end may be in none.
	writeInterval = 200 * time.Millisecond
	// writeTimeout bounds a write.
	writeTimeout = 600 * time.Millisecond
	// rowCount is the number of rows of a zone. At one row in writeInterval they hold the streams
	// of the last 19 s, which is longer than a caller's time budget.
	rowCount = 96
	// maxRowStreams bounds the streams of a row: at eight bytes each it is below half of what a row may hold.
	maxRowStreams = 2000
	// maxUnwritten bounds the streams that wait for a write; the oldest are dropped first.
	maxUnwritten = 20_000
)

// Rows are the calls to the table of streams in the store. Every call returns by its deadline.
type Rows struct {
	// Put writes a row, whatever its version. List returns the values of all rows.
	Put  func(deadline time.Time, key, value string) error
	List func(deadline time.Time) ([]string, error)
}

// Dependencies are what an archiver needs from the rest of the node.
type Dependencies struct {
	// Zone is the local zone.
	Zone string
	Rows Rows
	// Leading reports whether this node leads the zone; only then it writes.
	Leading func() bool
	// Count counts an event.
	Count func(name string)
}

// Archiver writes and reads the origins of streams for one node. It is safe for concurrent use.
type Archiver struct {
	dependencies Dependencies
	stopped      chan struct{}
	// mu guards unwritten, the streams that are not in the store yet, oldest first.
	mu        sync.Mutex
	unwritten []streamkeeper.Stream
	// found is what the last read returned.
	found archive
}

// New returns an archiver; Run starts its writer.
func New(dependencies Dependencies) *Archiver {
	return &Archiver{dependencies: dependencies, stopped: make(chan struct{})}
}

// Run starts writing in the background; Stop ends it without waiting.
func (a *Archiver) Run() {
	go func() {
		ticker := time.NewTicker(writeInterval)
		defer ticker.Stop()
		for {
			select {
			case <-a.stopped:
				return
			case <-ticker.C:
				a.write(time.Now())
			}
		}
	}()
}

// Stop ends the writer. It must be called once.
func (a *Archiver) Stop() { close(a.stopped) }

// Add records the origins of streams that a node of the local zone relays.
func (a *Archiver) Add(streams []streamkeeper.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unwritten = append(a.unwritten, streams...)
	if excess := len(a.unwritten) - maxUnwritten; excess > 0 {
		a.unwritten = a.unwritten[excess:]
		a.dependencies.Count("origins of streams not archived")
	}
}

// write puts the oldest unwritten streams into one row, if this node leads.
func (a *Archiver) write(now time.Time) {
	if !a.dependencies.Leading() {
		return // The streams are kept: the node may take the lease before the nodes that sent them do so again.
	}
	a.mu.Lock()
	streams := a.unwritten[:min(len(a.unwritten), maxRowStreams)]
	a.unwritten = a.unwritten[len(streams):]
	a.mu.Unlock()
	if len(streams) == 0 {
		return
	}
	key := fmt.Sprintf("%s/%d", a.dependencies.Zone, now.UnixMilli()/writeInterval.Milliseconds()%rowCount)
	value, err := proto.Marshal(&nodewire.StreamRow{Streams: streamkeeper.Encode(streams)})
	if err == nil {
		err = a.dependencies.Rows.Put(now.Add(writeTimeout), key, string(value))
	}
	if err == nil {
		log.Info().Str("zone", a.dependencies.Zone).Str("row", key).Int("streams", len(streams)).Msg("origins of streams archived")
		return
	}
	log.Warn().Str("zone", a.dependencies.Zone).Str("row", key).Int("streams", len(streams)).Err(err).Msg("origins of streams not archived; the write is repeated")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unwritten = append(append([]streamkeeper.Stream(nil), streams...), a.unwritten...)
}
