// Package leaseholder takes part in a zone's leader election for one node: it
// reads the lease rows of all zones, takes or renews the lease of the local
// zone, and reports the leader of each zone.
//
// The elector decides; this package does the I/O around it. Lease times are read
// from a clock that keeps counting while the machine is suspended.
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

// Times of the lease. Polls are pauses between two reads of the lease rows.
const (
	// term is the term of a zone's lease; a dead leader is replaced about a second after its term has ended.
	term = 2 * time.Second
	// renewAfter is the age at which the lease is renewed; a renewal may fail twice within the term.
	renewAfter = 750 * time.Millisecond
	// checkInterval is the interval at which the lease is checked and, when due, renewed or taken.
	checkInterval = 50 * time.Millisecond
	// leadersHeardPoll applies while this node hears from the leaders of all zones, forwardedPoll while the local zone's
	// leader forwards the leases of the other zones.
	leadersHeardPoll = 10 * time.Second
	forwardedPoll    = 30 * time.Second
	// leaderMissingPoll applies while it does not hear from some leader.
	leaderMissingPoll = 400 * time.Millisecond
	// leaseAbsentTime is how long after the first read leaderMissingPoll also applies while a zone has workers but no lease: all nodes of a
	// system may start at the same time.
	leaseAbsentTime = 10 * time.Second
	// failedReadPoll applies after a failed read or write.
	failedReadPoll = 600 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = 600 * time.Millisecond
	// maxHoldOver is the longest time that a leader keeps its lease while the store is unavailable. It is longer than
	// the users' outages, which last up to 9 s. A zone that lost its leader and all successors has no leader for as long.
	maxHoldOver = 15 * time.Second
	// promiseDuration is how long a promise lasts. It is shorter than the term: a restarted successor has forgotten
	// its promise, but waits one term.
	promiseDuration = 1500 * time.Millisecond
	// promiseTimeout limits one request for a promise, promiseInterval is the pause between two rounds of requests.
	promiseTimeout  = 350 * time.Millisecond
	promiseInterval = 250 * time.Millisecond
	// probeTimeout limits the read by which a successor checks whether the store responds to it.
	probeTimeout = 200 * time.Millisecond
	// maxReadAge is the age of the last successful read up to which another node's lease may be taken.
	maxReadAge = 500 * time.Millisecond
	// slowWriteAfter is how long a renewal may take before the successors are asked for promises.
	slowWriteAfter = 250 * time.Millisecond
	// maxDeferral is how much longer than others a node without processor time waits before it takes a vacant lease;
	// all hosts of a zone start within 0.3 s of each other.
	maxDeferral = 600 * time.Millisecond
	// fullCores is the number of cores from which a node does not wait; a leader of 75 nodes needs about a third of it.
	fullCores = 0.4
	// maxOrderTransit is how long an order may take from its node to its worker over a lossy or delayed link.
	maxOrderTransit = 300 * time.Millisecond
	// storeRecoveryGrace is how long after an outage of the store other nodes leave an expired lease to its holder.
	storeRecoveryGrace = 700 * time.Millisecond
)

// Dependencies are the settings of a leaseholder and what it needs from the rest of the node.
type Dependencies struct {
	// Zone is the local zone of the node, and the key of its lease row.
	Zone string
	Self elector.Member
	// Now returns the time by a clock that keeps counting while the machine is suspended.
	Now func() time.Time
	// Rows is the store's table of lease rows.
	Rows *platformclient.Platform
	// Heard reports whether this node recently received a message from a zone's leader. It may be called with the
	// leaseholder's lock held, so that it must not call the leaseholder.
	Heard func(zone string) bool
	// Zones returns the zones that have workers.
	Zones func() []string
	// Successors returns the nodes of the zone that follow this node as their leader. It is called without any lock.
	Successors func() []elector.Member
	// Ask asks a successor to promise not to take the lease for the time hold, and reports whether it promised.
	Ask func(deadline time.Time, successor elector.Member, epoch int64, hold time.Duration) bool
	// QuietMS is the quiet period in milliseconds: how long this node waits after another holder's last possible
	// order before it sends its first order.
	QuietMS int64
	// Cores is the number of cores that this node may use; stronger nodes are preferred as leaders.
	Cores float64
	// Software returns what this node writes as the Software of a lease. OnSoftware is called with that of each new row, and with an empty one if a store
	// that never came back from a copy has no row. Both are called with the leaseholder's lock held, so that they must not call the leaseholder.
	Software   func() map[string]map[string]int64
	OnSoftware func(software map[string]map[string]int64)
	// OnEra is called with the store's era and for how long the store has been in it at least, when that becomes known from this node's reads. It is called
	// with the leaseholder's lock held, so that it must not call the leaseholder.
	OnEra func(era int64, age time.Duration)
	// Changed is called after this node took or lost the lease.
	Changed func()
}

// Leaseholder reads, takes and renews leases for one node. It is safe for concurrent use.
type Leaseholder struct {
	dependencies Dependencies
	stopped      chan struct{}
	// readNow makes the lease loop read the rows immediately.
	readNow chan struct{}
	// mu guards everything below.
	mu      sync.Mutex
	elector *elector.Elector
	// holders maps zones to the leaders that their lease rows name.
	holders map[string]elector.Member
	// epochs maps zones to the epochs of their lease rows.
	epochs map[string]int64
	// leases maps zones to their lease rows as sent to other nodes; a message is never changed once it is in the map.
	leases map[string]*nodewire.LeaseView
	// vacantSince is when this node's elector first allowed it to take the lease; zero while it does not.
	vacantSince time.Time
	// quietUntil is the end of the quiet period, from which this node may send orders under its lease.
	quietUntil time.Time
	// firstReadAt is when the first read of the rows ended.
	firstReadAt time.Time
	// readAt is when the last read of the rows ended; it is set back to make the next read due.
	readAt time.Time
	// loggedEpoch is the epoch that this node last logged as its own, or 0.
	loggedEpoch int64
	// resigned is set when the node stops.
	resigned bool
	// storeFailing is set if the last call to the store failed; storeRecoveredAt is when one last succeeded after a failure.
	storeFailing     bool
	storeRecoveredAt time.Time
	// promisesRequestedAt is when the successors were last asked for promises; requestingPromises is set during a round of requests.
	promisesRequestedAt time.Time
	requestingPromises  bool
	// writeSentAt is when the write in flight was sent; zero when there is none.
	writeSentAt time.Time
	// successfulReadSentAt is when the last successful read was sent.
	successfulReadSentAt time.Time
	// loggedHeldOver is whether this node last logged that it leads by promises only.
	loggedHeldOver bool
	// era is the store's era at the last read of the rows, eraSinceMS the lowest value of its clock in that era that this node knows of, 0 for none.
	era, eraSinceMS int64
	// loggedWait is the wait for an unknown predecessor that this node last logged.
	loggedWait time.Time
	// lastOrderAt is when this node last sent an order.
	lastOrderAt time.Time
}

// New returns a leaseholder; Run starts it.
func New(dependencies Dependencies) *Leaseholder {
	return &Leaseholder{
		dependencies: dependencies, stopped: make(chan struct{}), readNow: make(chan struct{}, 1),
		elector: elector.NewWithTerm(dependencies.Self, term, renewAfter, maxHoldOver), holders: map[string]elector.Member{}, epochs: map[string]int64{}, leases: map[string]*nodewire.LeaseView{},
	}
}

// Self returns this node as a member of its zone.
func (l *Leaseholder) Self() elector.Member { return l.dependencies.Self }

// Run starts the lease and promise loops in the background; Stop ends them.
func (l *Leaseholder) Run() {
	go l.leaseLoop()
	go l.promiseLoop()
}

// Stop ends the loops without handing the lease over. It must be called once.
func (l *Leaseholder) Stop() { close(l.stopped) }

func (l *Leaseholder) leaseLoop() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-l.readNow:
			l.readRows()
		case <-ticker.C:
		}
		l.maintainLease()
	}
}

// Leading reports whether this node holds its zone's lease, and under which epoch.
func (l *Leaseholder) Leading() (epoch int64, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Leading(l.dependencies.Now())
}

// OrderNotAllowedError says that this node must not send an order under an epoch.
type OrderNotAllowedError struct {
	// epoch is the epoch under which the order was decided.
	epoch int64
}

// Error returns the epoch and the possible reasons.
func (e *OrderNotAllowedError) Error() string {
	return fmt.Sprintf("order under epoch %d not allowed: this node does not hold the lease of that epoch, is in its quiet period or has resigned", e.epoch)
}

// CheckOrder returns an *OrderNotAllowedError unless this node may send an order
// under an epoch now. It records the time of an order that it allows.
func (l *Leaseholder) CheckOrder(epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.dependencies.Now()
	held, leading := l.elector.Leading(now)
	if !leading || held != epoch || now.Before(l.quietUntil) || l.resigned {
		return &OrderNotAllowedError{epoch: epoch}
	}
	l.lastOrderAt = now
	return nil
}

// Leases returns the last known leases of all zones, sorted by zone.
func (l *Leaseholder) Leases() []*nodewire.LeaseView {
	l.mu.Lock()
	defer l.mu.Unlock()
	leases := lo.Values(l.leases)
	sort.Slice(leases, func(i, j int) bool { return leases[i].GetZone() < leases[j].GetZone() })
	return leases
}

// ApplyForwarded records a zone's lease that the local zone's leader forwarded, which saves a read
// of the store. Versions that are not newer than the known one are ignored.
func (l *Leaseholder) ApplyForwarded(forwarded *nodewire.LeaseView) {
	var lease elector.Lease
	if err := json.Unmarshal([]byte(forwarded.GetLease()), &lease); err != nil {
		log.Error().Str("zone", forwarded.GetZone()).Err(err).Msg("lease forwarded by the leader cannot be decoded; it is ignored")
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if forwarded.GetVersion() <= l.leases[forwarded.GetZone()].GetVersion() {
		return
	}
	if forwarded.GetZone() == l.dependencies.Zone {
		if _, leading := l.elector.Leading(l.dependencies.Now()); leading || forwarded.GetVersion() <= l.elector.Version() {
			return
		}
		l.elector.Observe(l.dependencies.Now(), elector.Row{Lease: lease, Version: forwarded.GetVersion()})
	}
	l.recordLease(forwarded.GetZone(), forwarded.GetLease(), forwarded.GetVersion(), lease)
}

// QuietRemaining returns the rest of the quiet period, in which this node sends no orders even
// if it leads; 0 when the period has passed.
func (l *Leaseholder) QuietRemaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.quietUntil.Sub(l.dependencies.Now()), 0)
}

// Holder returns the leader that a zone's lease row names, the epoch, and whether there
// is one.
func (l *Leaseholder) Holder(zone string) (elector.Member, int64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	holder, found := l.holders[zone]
	return holder, l.epochs[zone], found && holder.Incarnation != ""
}

// Zones returns the zones that have a lease row, in no particular order.
func (l *Leaseholder) Zones() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return lo.Keys(l.holders)
}

// maintainLease reads the rows when due and takes or renews the lease.
func (l *Leaseholder) maintainLease() {
	if l.readDue() {
		l.readRows()
	}
	successors := l.successors()
	l.mu.Lock()
	now := l.dependencies.Now()
	l.elector.ResumeAfterRestart()
	_, leading := l.elector.Leading(now)
	var proposal *elector.Proposal
	if l.mayPropose(now, leading) && (leading || !l.defersToStronger(now)) {
		proposal = l.elector.Propose(now, successors)
	}
	if proposal != nil {
		if !leading {
			// This is set before the write, since the response to a write that took effect may be lost.
			l.quietUntil = l.quietEnd(now, l.elector.Predecessor())
		}
		proposal.Lease.QuietMS = max(l.quietUntil.Sub(now).Milliseconds(), 0)
		l.describe(proposal)
	}
	l.mu.Unlock()
	if proposal != nil {
		l.writeProposal(proposal)
	}
	l.reportChange()
}

// reportChange logs that the lease was taken, lost or held over, and calls Changed
// when it was taken or lost.
func (l *Leaseholder) reportChange() {
	l.mu.Lock()
	epoch, leading := l.elector.Leading(l.dependencies.Now())
	if !leading {
		epoch = 0
	}
	previousEpoch := l.loggedEpoch
	l.loggedEpoch = epoch
	quiet := max(l.quietUntil.Sub(l.dependencies.Now()), 0)
	heldOver := l.elector.HeldOver(l.dependencies.Now())
	previouslyHeldOver := l.loggedHeldOver
	l.loggedHeldOver = heldOver
	until, reason := l.elector.Wait()
	waits := epoch == 0 && reason == elector.WaitPredecessor && !until.Equal(l.loggedWait) && l.dependencies.Now().Before(until)
	if waits {
		l.loggedWait = until
	}
	wait, holder := until.Sub(l.dependencies.Now()), l.elector.Lease().Holder
	l.mu.Unlock()
	if waits {
		log.Warn().Str("zone", l.dependencies.Zone).Str("why", reason).Str("holder", holder.Node).Int64("wait_ms", wait.Milliseconds()).Msg("lease not taken yet")
	}
	if heldOver != previouslyHeldOver {
		log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", epoch).Bool("held_over", heldOver).Msg("lease held over by promises")
	}
	if previousEpoch == epoch {
		return
	}
	if previousEpoch != 0 {
		log.Warn().Str("zone", l.dependencies.Zone).Int64("epoch", previousEpoch).Msg("lease lost")
	}
	if epoch != 0 {
		log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", epoch).Int64("quiet_ms", quiet.Milliseconds()).Msg("lease taken")
	}
	l.dependencies.Changed()
}

// ReadNow makes the node read the lease rows immediately, for instance because a
// leader stops. It does not wait for the read.
func (l *Leaseholder) ReadNow() {
	select {
	case l.readNow <- struct{}{}:
	default:
	}
}

// Resign writes a lease without a holder, so that another node can take it immediately,
// and keeps this node from taking it again. It reports whether the lease was held
// and the store responded to the write.
func (l *Leaseholder) Resign() bool {
	l.mu.Lock()
	now := l.dependencies.Now()
	l.resigned = true
	proposal := l.elector.Resign(now)
	if proposal != nil {
		proposal.Lease.QuietMS = l.quietToHandOver(now)
		l.describe(proposal)
	}
	l.mu.Unlock()
	if proposal == nil {
		return false
	}
	if _, _, err := l.writeRow(proposal); err != nil {
		log.Warn().Str("zone", l.dependencies.Zone).Err(err).Msg("lease without a holder not written on resignation; other nodes wait until the lease expires")
		return false
	}
	log.Info().Str("zone", l.dependencies.Zone).Int64("epoch", proposal.Lease.Epoch).Int64("quiet_ms", proposal.Lease.QuietMS).Msg("lease handed over")
	return true
}

// quietToHandOver returns the quiet period in milliseconds that the next holder must keep: from the last order of this process, and what is left of the one
// that this node took over, which counts from the last order of an earlier holder. A process that has sent no order may have followed another one on its
// host that has just sent one. The caller holds mu.
func (l *Leaseholder) quietToHandOver(now time.Time) int64 {
	full := l.dependencies.QuietMS + maxOrderTransit.Milliseconds()
	if l.lastOrderAt.IsZero() {
		return full
	}
	return max(full-max(now.Sub(l.lastOrderAt).Milliseconds(), 0), l.quietUntil.Sub(now).Milliseconds(), 0)
}
