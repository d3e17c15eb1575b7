package freshkeeper

import "time"

// stamp is a time on a follower's boot clock in milliseconds; 0 is none.
type stamp struct {
	atMS int64
	// arrivedAt is when this node had received it, on its own boot clock.
	arrivedAt time.Time
}

// Stamps holds what a leader has to send back to one follower. The zero value has no stamps. It is not safe for concurrent use.
type Stamps struct {
	// last is the last stamp, asked the last that had arrived before the read in progress was sent. Without asked, followers that send often would
	// get nothing back: their last stamp has always arrived after the read began.
	last, asked stamp
	// provenMS is the latest stamp that a read has proved, version the version of that read, sentMS the latest that was sent back.
	provenMS, version, sentMS int64
}

// Receive records a stamp that has arrived by now. BegunAt and completed are the leader's reads, as Keeper.Reads returns them.
func (s *Stamps) Receive(now time.Time, atMS int64, begunAt time.Time, completed Read) {
	if atMS <= 0 {
		return
	}
	s.prove(completed)
	if s.last.arrivedAt.Before(begunAt) {
		s.asked = s.last
	}
	s.last = stamp{atMS: atMS, arrivedAt: now}
}

// prove records the latest stamp that had arrived before a read was sent.
func (s *Stamps) prove(completed Read) {
	for _, candidate := range []stamp{s.asked, s.last} {
		if candidate.atMS > s.provenMS && candidate.arrivedAt.Before(completed.SentAt) {
			s.provenMS, s.version = candidate.atMS, completed.Version
		}
	}
}

// Next returns the stamp to send back, and the version that was the newest in the store; found is unset if there is none that was not sent yet.
func (s *Stamps) Next(completed Read) (atMS, version int64, found bool) {
	s.prove(completed)
	if s.provenMS <= s.sentMS {
		return 0, 0, false
	}
	s.sentMS = s.provenMS
	return s.provenMS, s.version, true
}
