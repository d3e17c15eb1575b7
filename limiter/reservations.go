package limiter

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// SilenceTime is the time after the begin of a send in which a worker without room would have turned the request away; opening a connection may take most of it.
	SilenceTime = 400 * time.Millisecond
	// reserveTimeout bounds the call to the leader.
	reserveTimeout = 150 * time.Millisecond
	// minDenied is the least time for which a node that was denied a slot does not ask again.
	minDenied = 10 * time.Millisecond
	// unledTime is how long a node that got no reply of a worker's leader does without.
	unledTime = time.Second
)

// Reservations are how a node asks the leaders of zones for slots of brittle workers.
type Reservations struct {
	// Reserve tells the leader of a zone about the slots of workers, at most one of which is wanted. It returns whether that is granted and, if not, when to ask
	// again. The error says that no leader replied by the deadline; it is an *EarlierLeaderError if the leader does not know slots.
	Reserve func(deadline time.Time, zone string, uses []SlotUse) (granted bool, retryAt time.Time, err error)
	// Later calls a function a little later, so that what became of several slots is told at once.
	Later func(tell func(now time.Time))
}

// EarlierLeaderError reports that a zone's leader runs an earlier version, which does not grant slots.
type EarlierLeaderError struct {
	// zone is the leader's.
	zone string
}

// NewEarlierLeaderError returns the error for the leader of a zone.
func NewEarlierLeaderError(zone string) *EarlierLeaderError { return &EarlierLeaderError{zone: zone} }

// Error names the zone.
func (e *EarlierLeaderError) Error() string {
	return fmt.Sprintf("leader of zone %q does not grant slots", e.zone)
}

// Seat is a worker of which a slot is wanted.
type Seat struct {
	Service, Zone, Worker string
	Incarnation           int64
	// Slots is the number of requests that the worker runs at the same time.
	Slots int
}

// slotUses are what a node has still to tell leaders. It is safe for concurrent use.
type slotUses struct {
	// mu guards everything below.
	mu sync.Mutex
	// byZone holds it by the zone and the ID of the worker; maxToldWorkers at most a zone.
	byZone map[string]map[string]SlotUse
	// telling is set while a call of Later is pending.
	telling bool
}

// maxToldWorkers bounds the workers of a zone of which a node has something to tell; what is not told the leader finds out when the requests must have ended.
const maxToldWorkers = 1024

// add adds counts to what the leader of a zone is to be told of a worker.
func (u *slotUses) add(zone string, use SlotUse) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byZone == nil {
		u.byZone = map[string]map[string]SlotUse{}
	}
	if u.byZone[zone] == nil {
		u.byZone[zone] = map[string]SlotUse{}
	}
	known, found := u.byZone[zone][use.Worker]
	switch {
	case !found && len(u.byZone[zone]) >= maxToldWorkers:
		return
	case found && known.Incarnation == use.Incarnation:
		use.Accepted, use.Rejected, use.Ended = use.Accepted+known.Accepted, use.Rejected+known.Rejected, use.Ended+known.Ended
	}
	u.byZone[zone][use.Worker] = use
}

// take returns what the leader of a zone is to be told, and forgets it.
func (u *slotUses) take(zone string) []SlotUse {
	u.mu.Lock()
	defer u.mu.Unlock()
	uses := make([]SlotUse, 0, len(u.byZone[zone])+1)
	for _, use := range u.byZone[zone] {
		uses = append(uses, use)
	}
	delete(u.byZone, zone)
	return uses
}

// zones returns the zones whose leaders are to be told something, and ends the pending call of Later.
func (u *slotUses) zones() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.telling = false
	zones := make([]string, 0, len(u.byZone))
	for zone := range u.byZone {
		zones = append(zones, zone)
	}
	return zones
}

// begin reports whether a call of Later is needed.
func (u *slotUses) begin() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	begins := !u.telling
	u.telling = true
	return begins
}

// Slot is a slot of a brittle worker that a node was granted for one send. A nil slot is that of a worker that needs none. It is safe for concurrent use.
type Slot struct {
	limiter *Limiter
	zone    string
	// use names the worker and has no counts.
	use SlotUse
	// mu guards accepted and ended, which are set once the worker has taken the request, and once the send has ended.
	mu              sync.Mutex
	accepted, ended bool
}

// Accept records that the worker has taken the request.
func (s *Slot) Accept() {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accepted || s.ended {
		return
	}
	s.accepted = true
	use := s.use
	use.Accepted = 1
	s.limiter.tell(s.zone, use)
}

// End records that the send has ended; rejected is set if the worker had no room for it.
func (s *Slot) End(rejected bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	use := s.use
	use.Ended = 1
	switch {
	case rejected:
		use.Rejected = 1
	case !s.accepted:
		use.Accepted = 1
	}
	s.limiter.tell(s.zone, use)
}

// tell has a zone's leader told what became of a slot.
func (l *Limiter) tell(zone string, use SlotUse) {
	l.uses.add(zone, use)
	if !l.uses.begin() {
		return
	}
	l.reservations.Later(func(now time.Time) {
		for _, zone := range l.uses.zones() {
			uses := l.uses.take(zone)
			if len(uses) == 0 {
				continue
			}
			if _, _, err := l.reservations.Reserve(now.Add(reserveTimeout), zone, uses); err != nil {
				logger.Info("slots not told").Str("zone", zone).Int("workers", len(uses)).Err(err).Msg("slots not told")
			}
		}
	})
}

// ReserveBy sets how slots of brittle workers are reserved. It must be called before the first request; without it, the node acts as without a leader.
func (l *Limiter) ReserveBy(reservations Reservations) { l.reservations = &reservations }

// Reserve reports whether a request that ends at endsAt at the latest may be sent to a worker now. If the worker is brittle, it asks the leader of the worker's zone
// for a slot, which takes reserveTimeout at most; the slot must be ended with the send. A node that gets no reply sends little.
func (l *Limiter) Reserve(now time.Time, seat Seat, endsAt time.Time) (slot *Slot, reserved bool) {
	l.mu.Lock()
	known := l.brittleNow(now, seat.Service, seat.Worker)
	if known == nil {
		l.mu.Unlock()
		return nil, true
	}
	if now.Before(known.pausedUntil[seat.Worker]) {
		l.mu.Unlock()
		return nil, false
	}
	perSecond := known.news.PerSecond
	l.mu.Unlock()
	if l.reservations == nil {
		return nil, true
	}
	use := SlotUse{Worker: seat.Worker, Incarnation: seat.Incarnation, Slots: seat.Slots, PerSecond: perSecond}
	wanted := use
	wanted.Wanted, wanted.EndsAt = true, endsAt
	granted, retryAt, err := l.reservations.Reserve(now.Add(reserveTimeout), seat.Zone, append(l.uses.take(seat.Zone), wanted))
	l.mu.Lock()
	defer l.mu.Unlock()
	var earlier *EarlierLeaderError
	switch {
	case errors.As(err, &earlier): // HasRoom decides for this node.
		known.unledUntil[seat.Worker] = now.Add(unledTime)
		return nil, true
	case err != nil:
		granted = known.takeUnled(now, seat.Worker, (1-rejectionShare)*perSecond/float64(l.sharingNodes()))
		retryAt = now.Add(askPause)
		known.unledUntil[seat.Worker] = now.Add(unledTime)
	default:
		delete(known.unledUntil, seat.Worker)
	}
	if !granted {
		if earliest := now.Add(minDenied); retryAt.Before(earliest) {
			retryAt = earliest
		}
		known.dropPast(now)
		known.pausedUntil[seat.Worker] = retryAt
		l.count("slots denied")
		logger.Info("slot denied").Str("worker", seat.Worker).Str("zone", seat.Zone).Float64("per_second", perSecond).Int64("retry_ms", retryAt.Sub(now).Milliseconds()).Err(err).Msg("slot denied")
		return nil, false
	}
	return &Slot{limiter: l, zone: seat.Zone, use: use}, true
}
