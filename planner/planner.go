// Package planner decides, for the leader of a zone, which units are loaded
// and unloaded on which workers.
//
// The package reads no clock and does no I/O: the caller passes events and the
// current time, and carries out the returned actions. A decision is first
// persisted in the worker's row and then sent as an order. Memory is charged
// from the decision to load a unit until a report proves that the unit is absent.
package planner

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/acaciaproxy/acaciaproxy/evictor"
)

// maxOrdersPerEpoch is how many fencing numbers an epoch has. Those of a later
// epoch are higher.
const maxOrdersPerEpoch = 1 << 24

// pendingOrder is an order that waits for the write of the row that records its decision.
type pendingOrder struct {
	order Order
	// sequence is the row's sequence that must be persisted before the order is sent.
	sequence int64
}

// worker is the planner's state of one worker.
type worker struct {
	spec WorkerSpec
	// adopted is true once the decision row has been read under this lease.
	adopted bool
	// row holds the decisions; it may be ahead of the persisted row.
	row Row
	// version is the table version of the last persisted row.
	version int64
	// persisted is the sequence of the last persisted row.
	persisted int64
	// writing is the sequence of the row being written, or 0.
	writing int64
	// pending holds the orders whose row is not persisted yet, oldest first.
	pending []pendingOrder
	// report is the newest report.
	report Report
	// reported is true once a report has arrived.
	reported bool
	// firstOrder is the number of this leader's first order to the worker.
	firstOrder int64
	// lastListedOrder is the highest number of this leader's orders in the newest report.
	lastListedOrder int64
	// fenced is true once the worker accepted a fence order of this leader, after
	// which a worker with fencing refuses the orders of earlier leaders.
	fenced bool
	// fenceAt is the earliest time of the next fence order.
	fenceAt time.Time
	// timeouts maps units whose load order got no response to the time after which the order cannot take effect.
	timeouts map[string]time.Time
	// retryAt maps units to the earliest time of the next unload order.
	retryAt map[string]time.Time
	// provenBy maps units to the number of the order that a report must list to
	// prove that the unit is absent.
	provenBy map[string]int64
	// unitsAdopted is true once a report showed which units the worker had at the takeover.
	unitsAdopted bool
	// unlisted is true if the host list no longer names the worker.
	unlisted bool
}

// Planner holds the decisions of one leader under one lease epoch. It is not
// safe for concurrent use.
type Planner struct {
	zone string
	// issuer is the incarnation of this leader.
	issuer string
	// epoch is the lease epoch; it never changes.
	epoch int64
	// orders counts the orders numbered under this epoch.
	orders int64
	// workers maps IDs to workers.
	workers map[string]*worker
	// demands maps units to their demand.
	demands map[string]*unitDemand
	limits  Limits
	// policy decides which units stay loaded and which are evicted first.
	policy  *evictor.Policy
	actions []Action
	// settledIssuers holds the incarnations whose earlier orders can no longer take effect.
	settledIssuers map[string]bool
	// nextLoadAt is the earliest time of the next model load under Limits.LoadRate.
	nextLoadAt time.Time
	// loads counts the load decisions, reloads those of them within reloadWindow of an unload.
	loads, reloads int64
	// unloadedAt maps units to when they were last unloaded.
	unloadedAt map[string]time.Time
	// replicaCounts caches the result of countReplicas; nil if they must be counted again.
	replicaCounts map[string]int
	// discoveryUntil is the time until which the list of workers may be incomplete.
	discoveryUntil time.Time
	// firstAdoptedAt is when the first row was adopted. Every unit counts as used
	// then, because a new leader does not know earlier uses.
	firstAdoptedAt time.Time
}

// discoveryTime is how long a new leader assumes that it does not know all workers yet.
const discoveryTime = 3 * time.Second

// New returns the planner of a leader that took the lease of a zone at now.
// Issuer is the leader's incarnation. The limits are 1 until SetLimits is called.
func New(now time.Time, zone, issuer string, epoch int64, policy *evictor.Policy) *Planner {
	return &Planner{
		zone: zone, issuer: issuer, epoch: epoch, policy: policy, discoveryUntil: now.Add(discoveryTime),
		workers:        map[string]*worker{},
		demands:        map[string]*unitDemand{},
		settledIssuers: map[string]bool{},
		unloadedAt:     map[string]time.Time{},
		limits:         Limits{LoadRate: 1, ParallelLoads: 1, ParallelAdapterLoads: 1},
	}
}

// Epoch returns the lease epoch under which the planner decides.
func (p *Planner) Epoch() int64 { return p.epoch }

// SetLimits sets the zone's share of the weight store's limits.
func (p *Planner) SetLimits(limits Limits) { p.limits = limits }

// SetWeights sets the ColdWeight and the IdleWeight of the policy.
func (p *Planner) SetWeights(cold, idle float64) {
	p.policy.ColdWeight, p.policy.IdleWeight = cold, idle
}

// Actions returns the actions decided since the last call, in order.
func (p *Planner) Actions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// SetWorkers replaces the list of workers. A worker that is no longer listed keeps its charges.
func (p *Planner) SetWorkers(specs []WorkerSpec) {
	p.replicaCounts = nil
	listed := map[string]bool{}
	for _, spec := range specs {
		listed[spec.ID] = true
		w, known := p.workers[spec.ID]
		if !known {
			w = newWorker()
			p.workers[spec.ID] = w
		}
		w.spec = spec
		w.unlisted = false
	}
	for id, w := range p.workers {
		if !listed[id] {
			w.unlisted = true
		}
	}
}

func newWorker() *worker {
	return &worker{timeouts: map[string]time.Time{}, retryAt: map[string]time.Time{}, provenBy: map[string]int64{}}
}

// Adopt sets a worker's decision row as read under this lease. Version is the
// row's version in the table, 0 if it does not exist. PersistedSequence is the
// sequence of the row in the table, which is lower than the row's if it comes
// from a successor.
func (p *Planner) Adopt(now time.Time, id string, row Row, version, persistedSequence int64) {
	w, known := p.workers[id]
	if !known || w.adopted {
		return
	}
	p.replicaCounts = nil
	if p.firstAdoptedAt.IsZero() {
		p.firstAdoptedAt = now
	}
	w.adopted = true
	w.row = row.clone()
	w.row.Epoch = p.epoch
	w.version = version
	w.persisted = persistedSequence
	w.writing = 0
	w.firstOrder = p.sendFence(now, w)
	for _, charge := range w.row.Charges {
		w.provenBy[charge.Unit] = w.firstOrder
		p.policy.RecordUse(charge.Unit, now, 1) // Without any recorded use, the policy of a new leader would unload every unit.
	}
}

// Unadopted returns the IDs of the listed workers whose rows must be read, sorted.
func (p *Planner) Unadopted() []string {
	var ids []string
	for id, w := range p.workers {
		if !w.adopted && !w.unlisted {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// fenceRetry is the least time between two fence orders to a worker.
const fenceRetry = 1 * time.Second

// sendFence sends an order that only raises the worker's fencing number, and returns the order's number.
func (p *Planner) sendFence(now time.Time, w *worker) int64 {
	order := p.newOrder(w, VerbFence)
	w.fenceAt = now.Add(fenceRetry)
	p.send(order)
	return p.orders
}

func (p *Planner) newOrder(w *worker, verb string) Order {
	p.orders++
	fence := p.epoch*maxOrdersPerEpoch + p.orders
	return Order{ID: p.orderPrefix() + strconv.FormatInt(p.orders, 10), Worker: w.spec.ID, Fence: fence, Verb: verb}
}

// orderPrefix returns what precedes the number in the IDs of this leader's orders.
func (p *Planner) orderPrefix() string { return fmt.Sprintf("%s-%d-", p.issuer, p.epoch) }

func (p *Planner) send(order Order) {
	p.actions = append(p.actions, Action{Worker: order.Worker, Order: &order})
}

// persist schedules the write of a worker's row. At most one write of a row is in progress.
func (p *Planner) persist(w *worker) {
	w.row.Sequence++
	w.row.Epoch = p.epoch
	p.writeNext(w)
}

func (p *Planner) writeNext(w *worker) {
	if w.writing != 0 || w.row.Sequence == w.persisted {
		return
	}
	w.writing = w.row.Sequence
	row := w.row.clone()
	p.actions = append(p.actions, Action{Worker: w.spec.ID, Persist: &row, Version: w.version})
}

// RecordPersisted records that a worker's row was written, or replicated to every
// successor, and sends the orders that waited for it.
func (p *Planner) RecordPersisted(id string, sequence, version int64) {
	w, known := p.workers[id]
	if !known || w.writing != sequence {
		return
	}
	w.writing = 0
	w.persisted = sequence
	w.version = version
	kept := w.pending[:0]
	for _, pending := range w.pending {
		if pending.sequence > sequence {
			kept = append(kept, pending)
			continue
		}
		p.send(pending.order)
	}
	w.pending = kept
	p.writeNext(w)
}

// RecordNotPersisted records that a worker's row was not written. Version is the row's
// version in the table, against which the next tick writes it again.
func (p *Planner) RecordNotPersisted(id string, version int64) {
	w, known := p.workers[id]
	if !known {
		return
	}
	w.writing = 0
	w.version = version
}

// Rewrite makes the next tick write a worker's row again, for a row that is
// stored only at the successors.
func (p *Planner) Rewrite(id string) {
	w, known := p.workers[id]
	if !known || w.writing != 0 {
		return
	}
	w.row.Sequence++
}

// MarkIssuerSettled records that none of the orders that an incarnation issued
// before this lease can take effect any more.
func (p *Planner) MarkIssuerSettled(issuer string) { p.settledIssuers[issuer] = true }

// UnsettledIssuers returns the incarnations that decided unsettled charges
// before this lease and are not marked as settled, sorted.
func (p *Planner) UnsettledIssuers() []string {
	found := map[string]bool{}
	for _, w := range p.workers {
		for _, charge := range w.row.Charges {
			if !charge.Settled && !p.decidedUnderLease(charge) && !p.settledIssuers[charge.Issuer] {
				found[charge.Issuer] = true
			}
		}
	}
	issuers := make([]string, 0, len(found))
	for issuer := range found {
		issuers = append(issuers, issuer)
	}
	sort.Strings(issuers)
	return issuers
}

// workerIDs returns the IDs of all workers, sorted.
func (p *Planner) workerIDs() []string {
	ids := make([]string, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
