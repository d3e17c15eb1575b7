package fleetleader

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/freshkeeper"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/timekeeper"
)

// receiveStamp records a stamp of the node, 0 for none. The caller holds the Leader's mu.
func (f *follower) receiveStamp(atMS int64, reads func() (begunAt time.Time, completed freshkeeper.Read)) {
	if atMS <= 0 {
		return
	}
	f.stamped = true
	begunAt, completed := reads()
	f.stamps.Receive(timekeeper.Now(), atMS, begunAt, completed)
}

// nextProof returns the proof for the node that was not sent yet, or nil. The caller holds the Leader's mu.
func (f *follower) nextProof(reads func() (begunAt time.Time, completed freshkeeper.Read)) *nodewire.Freshness {
	_, completed := reads()
	atMS, version, found := f.stamps.Next(completed)
	if !found {
		return nil
	}
	return &nodewire.Freshness{Stamp: atMS, Version: version}
}
