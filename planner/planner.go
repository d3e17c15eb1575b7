// Package planner decides, for the leader of a zone, which units are loaded
// and unloaded on which workers.
//
// The package holds no clock and does no I/O: events and the current time go
// in, actions come out. A decision is first persisted in the worker's row and
// then sent as an order; memory is charged from the moment of the decision
// until the unload is confirmed.
package planner

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"github.com/acaciaproxy/acaciaproxy/keeper"
)

// fencesPerEpoch is how many orders one leader may number.
const fencesPerEpoch = 1 << 24

// pendingOrder is an order that waits for the row that decides it.
type pendingOrder struct {
	order Order
	// sequence is the row sequence that must be written before the order is sent.
	sequence int64
}

// worker is what the planner knows of one worker.
type worker struct {
	spec WorkerSpec
	// adopted is set once the decision row was read under this lease.
	adopted bool
	// row is what is decided; it may be ahead of what is persisted.
	row Row
	// version is the table version of the last persisted row.
	version int64
	// persisted is the sequence of the last persisted row.
	persisted int64
	// writing is the sequence being written, or 0.
	writing int64
	// pending holds orders in the order of decision.
	pending []pendingOrder
	// report is the newest report.
	report Report
	// reported is set once a report has come.
	reported bool
	// firstOrder is the number of this leader's first order to the worker.
	firstOrder int64
	// listedUpTo is the highest number of this leader's orders in the newest report.
	listedUpTo int64
	// fenced is set once the worker accepted a fence order.
	fenced bool
	// fenceAt is when the next fence order may be sent.
	fenceAt time.Time
	// timeouts maps units with an unanswered load order to the time after which it cannot take effect.
	timeouts map[string]time.Time
	// retryAt maps units to when an unload may be sent again.
	retryAt map[string]time.Time
	// proofs maps units to the number of the order that a report must list before the unit's absence counts.
	proofs map[string]int64
	// unitsAdopted is set once a report proved what the worker held at the takeover.
	unitsAdopted bool
	// gone is set when the host list no longer names the worker.
	gone bool
}

// Planner is the state of one leader. Its methods must not run at the same time.
type Planner struct {
	zone string
	// issuer is this incarnation.
	issuer string
	// epoch is the lease epoch; it never changes.
	epoch int64
	// orders counts the orders numbered under this epoch.
	orders  int64
	workers map[string]*worker
	wants   map[string]*want
	limits  Limits
	// policy decides what is kept and what is evicted.
	policy  *keeper.Policy
	actions []Action
	// issuersGone holds the incarnations whose orders can take effect no more.
	issuersGone map[string]bool
	// loadAt is the earliest time of the next load by the store's rate.
	loadAt time.Time
	// decided counts the load decisions, reloads those within reloadWindow of an unload.
	decided, reloads int64
	// unloadedAt maps units to when they were last unloaded.
	unloadedAt map[string]time.Time
	// replicaCounts is what counts returns, or nil when it must be counted again.
	replicaCounts map[string]int
	// warmUntil is until when the list of workers may still be incomplete.
	warmUntil time.Time
	// startedAt is when the first row was adopted; every unit counts as used then.
	startedAt time.Time
}

// warmTime is how long a new leader may take to learn of all workers.
const warmTime = 3 * time.Second

// New returns the planner of a leader.
func New(now time.Time, zone, issuer string, epoch int64, policy *keeper.Policy) *Planner {
	return &Planner{
		zone: zone, issuer: issuer, epoch: epoch, policy: policy, warmUntil: now.Add(warmTime),
		workers:     map[string]*worker{},
		wants:       map[string]*want{},
		issuersGone: map[string]bool{},
		unloadedAt:  map[string]time.Time{},
		limits:      Limits{Rate: 1, Parallel: 1, Transit: 1},
	}
}

// Epoch returns the lease epoch under which the planner decides.
func (p *Planner) Epoch() int64 { return p.epoch }

// SetLimits sets the zone's share of the weight store.
func (p *Planner) SetLimits(limits Limits) { p.limits = limits }

// SetWeights sets the costs of a second of cold-start wait and of an idle accelerator second.
func (p *Planner) SetWeights(cold, idle float64) {
	p.policy.ColdWeight, p.policy.IdleWeight = cold, idle
}

// Actions returns and forgets the actions decided since the last call.
func (p *Planner) Actions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// SetWorkers replaces the list of workers.
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
		w.gone = false
	}
	for id, w := range p.workers {
		if !listed[id] {
			w.gone = true
		}
	}
}

func newWorker() *worker {
	return &worker{timeouts: map[string]time.Time{}, retryAt: map[string]time.Time{}, proofs: map[string]int64{}}
}

// Adopt takes in a worker's decision row as read under this lease. A row that
// does not exist has version 0. Durable is the sequence of the row in the
// table, which is lower than the row's when successors hold a newer one.
func (p *Planner) Adopt(now time.Time, id string, row Row, version, durable int64) {
	w, known := p.workers[id]
	if !known || w.adopted {
		return
	}
	p.replicaCounts = nil
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	w.adopted = true
	w.row = row.clone()
	w.row.Epoch = p.epoch
	w.version = version
	w.persisted = durable
	w.writing = 0
	w.firstOrder = p.sendFence(now, w)
	for _, charge := range w.row.Charges {
		w.proofs[charge.Unit] = w.firstOrder
		p.policy.Used(charge.Unit, now, 1) // A new leader knows no history, which must not unload everything.
	}
}

// Unadopted returns the workers whose rows must be read.
func (p *Planner) Unadopted() []string {
	var ids []string
	for id, w := range p.workers {
		if !w.adopted && !w.gone {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// fenceRetry is the pause between two fence orders.
const fenceRetry = 1 * time.Second

// sendFence sends an order that only raises the fencing number and returns its number.
func (p *Planner) sendFence(now time.Time, w *worker) int64 {
	order := p.newOrder(w, VerbFence)
	w.fenceAt = now.Add(fenceRetry)
	p.send(order)
	return p.orders
}

func (p *Planner) newOrder(w *worker, verb string) Order {
	p.orders++
	fence := p.epoch*fencesPerEpoch + p.orders
	return Order{ID: p.orderPrefix() + strconv.FormatInt(p.orders, 10), Worker: w.spec.ID, Fence: fence, Verb: verb}
}

// orderPrefix comes before the number in the ids of this leader's orders.
func (p *Planner) orderPrefix() string { return fmt.Sprintf("%s-%d-", p.issuer, p.epoch) }

func (p *Planner) send(order Order) {
	p.actions = append(p.actions, Action{Worker: order.Worker, Send: &order})
}

// persist schedules the write of a worker's row. One write is under way at a time.
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

// Persisted takes in that a row was written, or replicated to every successor.
func (p *Planner) Persisted(id string, sequence, version int64) {
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

// NotPersisted takes in that a row was not written. Version is the row's
// version in the table; the write is tried again against it.
func (p *Planner) NotPersisted(id string, version int64) {
	w, known := p.workers[id]
	if !known {
		return
	}
	w.writing = 0
	w.version = version
}

// Rewrite makes the next tick write a worker's row again, because the last
// write went only to the successors.
func (p *Planner) Rewrite(id string) {
	w, known := p.workers[id]
	if !known || w.writing != 0 {
		return
	}
	w.row.Sequence++
}

// MarkIssuerSettled takes in that no order of an incarnation from before this lease can take effect any more.
func (p *Planner) MarkIssuerSettled(issuer string) { p.issuersGone[issuer] = true }

// UnsettledIssuers returns the incarnations with unsettled charges from before this lease.
func (p *Planner) UnsettledIssuers() []string {
	found := map[string]bool{}
	for _, w := range p.workers {
		for _, charge := range w.row.Charges {
			if !charge.Settled && !p.decidedHere(charge) && !p.issuersGone[charge.Issuer] {
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

// workerIDs returns the workers in a fixed order.
func (p *Planner) workerIDs() []string {
	ids := make([]string, 0, len(p.workers))
	for id := range p.workers {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}
