// Package leaseholder keeps a node's part in the leases of the zones: it reads
// the lease rows, takes or renews the own zone's lease, and says who leads.
//
// The elector decides; this package does the I/O around it. All its times are
// of the clock that counts suspensions.
package leaseholder

import (
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Times of the lease.
const (
	// term is the term of a zone's lease; a dead leader is replaced about a second after it.
	term = 2 * time.Second
	// renewAfter is the age at which the lease is renewed; a renewal may fail twice within the term.
	renewAfter = 750 * time.Millisecond
	// step is how often the lease is looked at.
	step = 50 * time.Millisecond
	// calmPoll is the pause between two reads of the rows while all leaders are heard of, toldPoll while the own zone's tells of the others.
	calmPoll = 10 * time.Second
	toldPoll = 30 * time.Second
	// seekPoll is the pause while one is not.
	seekPoll = 400 * time.Millisecond
	// failedPoll is the pause after a read that failed.
	failedPoll = 600 * time.Millisecond
	// callTime bounds one call.
	callTime = 600 * time.Millisecond
	// holdOver is the longest time that a leader goes on while the store is away.
	holdOver = 15 * time.Second // Longer than the users' outages of up to 9 s; a zone that lost leader and successors waits as long.
	// promiseTime is for how long a successor promises; it is shorter than the term, which a restarted one waits.
	promiseTime = 1500 * time.Millisecond
	// askTime bounds the question to a successor, askPause is the pause between two rounds.
	askTime  = 350 * time.Millisecond
	askPause = 250 * time.Millisecond
	// probeTime bounds the read by which a successor finds out whether the store answers it.
	probeTime = 200 * time.Millisecond
	// freshRead is the age of the last read up to which another node's lease may be taken.
	freshRead = 500 * time.Millisecond
	// slowWrite is how long a renewal may take before the successors are asked for promises.
	slowWrite = 250 * time.Millisecond
	// weakWait is how much longer than others a node without processor time waits before it takes a vacant lease;
	// all hosts of a zone start within 0.3 s of each other.
	weakWait = 600 * time.Millisecond
	// fullStrength is the share of a core from which a node does not wait; a leader of 75 nodes needs about a third of it.
	fullStrength = 0.4
	// orderTravel is how long an order that has left may take to reach its worker, over a lossy or delayed link.
	orderTravel = 300 * time.Millisecond
	// returnGrace is how long other nodes leave a lapsed lease to its holder after the store's return.
	returnGrace = 700 * time.Millisecond
)

// Parts are what a leaseholder needs.
type Parts struct {
	Zone string
	Self elector.Member
	// Now tells the time that leases are counted by.
	Now  func() time.Time
	Rows *platformclient.Platform
	// Heard reports whether a zone's leader was heard of lately.
	Heard func(zone string) bool
	// Successors returns the nodes of the zone that follow this leader. It is called without any lock.
	Successors func() []elector.Member
	// Ask asks a successor for a promise and reports whether it gave it.
	Ask func(deadline time.Time, successor elector.Member, epoch int64, hold time.Duration) bool
	// QuietMS is how long after another holder's last possible order this node may give its first, in milliseconds.
	QuietMS int64
	// Strength is the share of a core that this node has; the strong lead where they can.
	Strength float64
	// Changed is called after this node took or lost the lease, or another zone's holder changed.
	Changed func()
}

// Leaseholder is safe for use by several goroutines.
type Leaseholder struct {
	parts   Parts
	stopped chan struct{}
	// wake makes the next step read the rows.
	wake chan struct{}
	// mu guards everything below.
	mu      sync.Mutex
	elector *elector.Elector
	// holders maps zones to the leaders by their rows.
	holders map[string]elector.Member
	// epochs maps zones to the epochs of their rows.
	epochs map[string]int64
	// rows maps zones to their rows; a message is never changed once it is here.
	rows map[string]*nodewire.LeaseView
	// vacantAt is since when this node might take the lease; zero while it may not.
	vacantAt time.Time
	// quietUntil is when this node may give orders under its lease.
	quietUntil time.Time
	// readAt is when the rows were last read.
	readAt time.Time
	// ledEpoch is the epoch that this node last logged as its own, or 0.
	ledEpoch int64
	// resigned is set when the node stops.
	resigned bool
	// failing is set while the last call to the store failed; returnedAt is when one last succeeded after a failure.
	failing    bool
	returnedAt time.Time
	// askedAt is when the successors were last asked for promises; asking is set while they are.
	askedAt time.Time
	asking  bool
	// writingAt is when the write under way was sent, zero when there is none.
	writingAt time.Time
	// goodReadAt is when a read that succeeded was last sent.
	goodReadAt time.Time
	// heldOver is set while this node leads by promises only, for the log.
	heldOver bool
	// orderedAt is when this node last gave an order.
	orderedAt time.Time
}

// New returns a leaseholder that does not run yet.
func New(parts Parts) *Leaseholder {
	return &Leaseholder{
		parts: parts, stopped: make(chan struct{}), wake: make(chan struct{}, 1),
		elector: elector.NewWithTerm(parts.Self, term, renewAfter, holdOver), holders: map[string]elector.Member{}, epochs: map[string]int64{}, rows: map[string]*nodewire.LeaseView{},
	}
}

// Self returns the member that this node is.
func (l *Leaseholder) Self() elector.Member { return l.parts.Self }

// Run starts the loop; it ends when Stop is called.
func (l *Leaseholder) Run() {
	go l.loop()
	go l.promiseLoop()
}

// Stop ends the loop without handing the lease over.
func (l *Leaseholder) Stop() { close(l.stopped) }

func (l *Leaseholder) loop() {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-l.wake:
			l.read()
		case <-ticker.C:
		}
		l.keep()
	}
}

// Leading returns the epoch while this node holds its zone's lease.
func (l *Leaseholder) Leading() (epoch int64, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Leading(l.parts.Now())
}

// LostError says that an order may not leave under an epoch any more.
type LostError struct {
	// epoch is that of the order.
	epoch int64
}

// Error names the epoch.
func (e *LostError) Error() string {
	return fmt.Sprintf("lease of epoch %d is not held any more", e.epoch)
}

// CheckOrder returns an error unless an order may leave now under an epoch, and counts the order.
func (l *Leaseholder) CheckOrder(epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.parts.Now()
	held, leading := l.elector.Leading(now)
	if !leading || held != epoch || now.Before(l.quietUntil) || l.resigned {
		return &LostError{epoch: epoch}
	}
	l.orderedAt = now
	return nil
}

// Known returns the leases of all zones as this node knows them, in the order of the zones' names.
func (l *Leaseholder) Known() []*nodewire.LeaseView {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := lo.Values(l.rows)
	sort.Slice(known, func(i, j int) bool { return known[i].GetZone() < known[j].GetZone() })
	return known
}

// Hear takes in a zone's lease as the own zone's leader knows it, which spares a read.
func (l *Leaseholder) Hear(heard *nodewire.LeaseView) {
	var lease elector.Lease
	if err := json.Unmarshal([]byte(heard.GetLease()), &lease); err != nil {
		log.Error().Str("zone", heard.GetZone()).Err(err).Msg("lease from a leader cannot be read")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if heard.GetVersion() <= l.rows[heard.GetZone()].GetVersion() {
		return
	}
	if heard.GetZone() == l.parts.Zone {
		if _, leading := l.elector.Leading(l.parts.Now()); leading || heard.GetVersion() <= l.elector.Version() {
			return
		}
		l.elector.Observe(l.parts.Now(), elector.Seen{Lease: lease, Version: heard.GetVersion()})
	}
	l.observe(heard.GetZone(), heard.GetLease(), heard.GetVersion(), lease)
}

// Quiet returns for how long this node must still give no orders though it leads.
func (l *Leaseholder) Quiet() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.quietUntil.Sub(l.parts.Now()), 0)
}

// Holder returns a zone's leader by its row, and the epoch.
func (l *Leaseholder) Holder(zone string) (elector.Member, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	holder, known := l.holders[zone]
	return holder, l.epochs[zone], known && holder.Incarnation != ""
}

// Zones returns the zones that have a lease row.
func (l *Leaseholder) Zones() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.Keys(l.holders)
}

// keep reads the rows when due and takes or renews the lease.
func (l *Leaseholder) keep() {
	if l.due() {
		l.read()
	}
	successors := l.successors()
	l.mu.Lock()
	now := l.parts.Now()
	l.elector.Inherit()
	_, leading := l.elector.Leading(now)
	var proposal *elector.Proposal
	if l.mayPropose(now, leading) && (leading || !l.defers(now)) {
		proposal = l.elector.Propose(now, successors)
	}
	if proposal != nil {
		if !leading {
			// Set before the write, whose answer may be lost.
			l.quietUntil = l.quietAfter(now, l.elector.Predecessor())
		}
		proposal.Lease.Quiet = max(l.quietUntil.Sub(now).Milliseconds(), 0)
	}
	l.mu.Unlock()
	if proposal != nil {
		l.propose(proposal)
	}
	l.logChange()
}

// logChange logs that the lease was taken or lost.
func (l *Leaseholder) logChange() {
	l.mu.Lock()
	epoch, leading := l.elector.Leading(l.parts.Now())
	if !leading {
		epoch = 0
	}
	before := l.ledEpoch
	l.ledEpoch = epoch
	quiet := max(l.quietUntil.Sub(l.parts.Now()), 0)
	heldOver := l.elector.HeldOver(l.parts.Now())
	heldOverBefore := l.heldOver
	l.heldOver = heldOver
	l.mu.Unlock()
	if heldOver != heldOverBefore {
		log.Info().Str("zone", l.parts.Zone).Int64("epoch", epoch).Bool("held_over", heldOver).Msg("lease held over by promises")
	}
	if before == epoch {
		return
	}
	if before != 0 {
		log.Warn().Str("zone", l.parts.Zone).Int64("epoch", before).Msg("lease lost")
	}
	if epoch != 0 {
		log.Info().Str("zone", l.parts.Zone).Int64("epoch", epoch).Int64("quiet_ms", quiet.Milliseconds()).Msg("lease taken")
	}
	l.parts.Changed()
}

// Wake makes the node read the rows at once, for instance because a leader stops.
func (l *Leaseholder) Wake() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Resign hands the lease over for good and reports whether it was held.
func (l *Leaseholder) Resign() bool {
	l.mu.Lock()
	now := l.parts.Now()
	l.resigned = true
	proposal := l.elector.Resign(now)
	if proposal != nil {
		sinceOrder := now.Sub(l.orderedAt).Milliseconds()
		if l.orderedAt.IsZero() {
			sinceOrder = 0 // The orders of a holder before this one may be recent.
		}
		proposal.Lease.Quiet = max(l.parts.QuietMS+orderTravel.Milliseconds()-max(sinceOrder, 0), 0)
	}
	l.mu.Unlock()
	if proposal == nil {
		return false
	}
	if _, _, err := l.write(proposal); err != nil {
		log.Warn().Str("zone", l.parts.Zone).Err(err).Msg("lease not handed over; it lapses")
		return false
	}
	log.Info().Str("zone", l.parts.Zone).Int64("epoch", proposal.Lease.Epoch).Int64("quiet_ms", proposal.Lease.Quiet).Msg("lease handed over")
	return true
}
