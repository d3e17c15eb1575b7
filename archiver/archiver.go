// Package archiver keeps the origins of streams in the store while a service has workers of
// several software versions or too few leaders know them, so that they outlive all nodes.
package archiver

import (
	"fmt"
	"slices"
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
	// archivedTime is how long a stream that is not written is kept: as long as a row that is written is not used again.
	archivedTime = rowCount * writeInterval
	// maxUnwritten bounds the streams of each service that are not written yet; the oldest are dropped first.
	maxUnwritten = 50_000
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
	// Archived reports whether the streams of a service are written: workers of several software versions serve it, or did in the last minute, or too
	// few leaders know them.
	Archived func(service string) bool
	// Count counts an event.
	Count func(name string)
}

// Archiver writes and reads the origins of streams for one node. It is safe for concurrent use.
type Archiver struct {
	dependencies Dependencies
	stopped      chan struct{}
	// mu guards unwritten.
	mu sync.Mutex
	// unwritten maps services to their streams that are not in the store yet, oldest first.
	unwritten map[string][]unwrittenStream
	// found is what the last read returned.
	found archive
}

// unwrittenStream is a stream that is not in the store yet.
type unwrittenStream struct {
	attempt  uint64
	software string
	// expires is when it is dropped.
	expires time.Time
}

// New returns an archiver; Run starts its writer.
func New(dependencies Dependencies) *Archiver {
	return &Archiver{dependencies: dependencies, stopped: make(chan struct{}), unwritten: map[string][]unwrittenStream{}}
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
func (a *Archiver) Add(now time.Time, streams []streamkeeper.Stream) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, stream := range streams {
		service := stream.Origin.Service
		a.unwritten[service] = append(a.unwritten[service], unwrittenStream{attempt: stream.Attempt, software: stream.Origin.Software, expires: now.Add(archivedTime)})
	}
	for service, waiting := range a.unwritten {
		if excess := len(waiting) - maxUnwritten; excess > 0 {
			a.unwritten[service] = waiting[excess:]
			a.dependencies.Count("origins of streams not archived")
		}
	}
}

// write puts the oldest unwritten streams of archived services into one row, if this node leads. The others are kept: a second
// version may come, and the node may take the lease before the nodes that sent them do so again.
func (a *Archiver) write(now time.Time) {
	taken := a.take(now)
	if len(taken) == 0 {
		return
	}
	var streams []streamkeeper.Stream
	for service, waiting := range taken {
		for _, stream := range waiting {
			streams = append(streams, streamkeeper.Stream{Attempt: stream.attempt, Origin: streamkeeper.Origin{Service: service, Software: stream.software}})
		}
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
	for service, waiting := range taken {
		a.unwritten[service] = slices.Concat(waiting, a.unwritten[service])
	}
}

// take drops the unwritten streams that have expired, removes those that the next row holds and returns them by service.
func (a *Archiver) take(now time.Time) map[string][]unwrittenStream {
	leading := a.dependencies.Leading()
	a.mu.Lock()
	defer a.mu.Unlock()
	taken, room := map[string][]unwrittenStream{}, maxRowStreams
	for service, waiting := range a.unwritten {
		for len(waiting) > 0 && now.After(waiting[0].expires) {
			waiting = waiting[1:]
		}
		if count := min(len(waiting), room); leading && count > 0 && a.dependencies.Archived(service) {
			taken[service], waiting = waiting[:count], waiting[count:]
			room -= count
		}
		if len(waiting) == 0 {
			delete(a.unwritten, service)
			continue
		}
		a.unwritten[service] = waiting
	}
	return taken
}
