package archiver

import (
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

const (
	// readTimeout bounds a read of all rows.
	readTimeout = 700 * time.Millisecond
	// readPause is the pause between two reads; it is longer if a read takes more than a tenth of it.
	readPause = 500 * time.Millisecond
	// readShare is the largest share of the time in which a node reads, as its inverse.
	readShare = 10
)

// archive is the content of all rows at the last read.
type archive struct {
	// mu guards the rest, and is held during a read: calls that come meanwhile use its result.
	mu   sync.Mutex
	rows []*nodewire.StreamRow
	// complete is set if the last read succeeded; nextReadAt is when the rows may be read again.
	complete   bool
	nextReadAt time.Time
}

// Find returns where a stream began if the store holds that. Read is set if the rows could be read.
func (a *Archiver) Find(attempt uint64) (origin streamkeeper.Origin, known, read bool) {
	a.found.mu.Lock()
	defer a.found.mu.Unlock()
	if now := time.Now(); !now.Before(a.found.nextReadAt) {
		a.readRows(now)
	}
	for _, row := range a.found.rows {
		for _, group := range row.GetStreams() {
			if slices.Contains(group.GetAttempts(), attempt) {
				return streamkeeper.Origin{Service: group.GetService(), Software: group.GetSoftware()}, true, true
			}
		}
	}
	return streamkeeper.Origin{}, false, a.found.complete
}

// readRows reads all rows. What an earlier read returned is kept if it fails. The caller holds found.mu.
func (a *Archiver) readRows(now time.Time) {
	values, err := a.dependencies.Rows.List(now.Add(readTimeout))
	took := time.Since(now)
	a.found.nextReadAt = now.Add(max(readPause, readShare*took))
	a.found.complete = err == nil
	if err != nil {
		log.Warn().Err(err).Int64("took_ms", took.Milliseconds()).Msg("archived origins of streams not read")
		return
	}
	a.found.rows = a.found.rows[:0]
	streams := 0
	for _, value := range values {
		row := &nodewire.StreamRow{}
		if err := proto.Unmarshal([]byte(value), row); err != nil {
			log.Warn().Err(err).Msg("row of archived origins ignored: it cannot be decoded")
			continue
		}
		a.found.rows = append(a.found.rows, row)
		for _, group := range row.GetStreams() {
			streams += len(group.GetAttempts())
		}
	}
	log.Info().Int("rows", len(values)).Int("streams", streams).Int64("took_ms", took.Milliseconds()).Msg("archived origins of streams read")
}
