package leader

import (
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/planner"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// persistRetryDelay is the pause before the write of a row is retried.
const persistRetryDelay = 250 * time.Millisecond

// planLoop runs the planner at every planInterval and whenever it is triggered.
func (l *Leader) planLoop() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
		case <-l.planTrigger:
		}
		l.plan()
	}
}

// plan runs one step of the planner and starts the actions that it decided.
func (l *Leader) plan() {
	l.adoptRows()
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	epoch, leading := l.elector.Leading(now)
	if l.planner == nil || !leading || l.planner.Epoch() != epoch {
		return
	}
	l.pollWorkers(l.planner)
	l.planner.Tick(now)
	actions := l.planner.Actions()
	for _, action := range actions {
		l.execute(l.planner, action)
	}
	if l.view.update(l.planner.View()) || len(actions) > 0 {
		l.notifyChange()
	}
}

// adoptRows reads the decision rows of the workers whose rows the planner has
// not adopted yet. A failed read is retried at the next run of the planner.
func (l *Leader) adoptRows() {
	l.mu.Lock()
	current := l.planner
	var ids []string
	if current != nil {
		ids = current.Unadopted()
	}
	l.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	keys := make([]string, len(ids))
	for i, id := range ids {
		keys[i] = l.rowPrefix() + id
	}
	rows, err := l.platform.ReadRows(time.Now().Add(platformTimeout), keys, "")
	if err != nil {
		return
	}
	byKey := map[string]platformclient.Row{}
	for _, row := range rows {
		byKey[row.Key] = row
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner != current {
		return
	}
	for i, id := range ids {
		l.adoptRow(id, byKey[keys[i]])
	}
}

// adoptRow passes the newer of the stored and the replicated row to the planner; the caller holds mu.
func (l *Leader) adoptRow(id string, stored platformclient.Row) {
	var row planner.Row
	if stored.Version != 0 {
		decoded, err := planner.DecodeRow(id, stored.Value)
		if err != nil {
			log.Error().Str("zone", l.zone).Str("worker", id).Err(err).Msg("decision row cannot be decoded")
			return
		}
		row = decoded
	}
	durable := row.Sequence
	if replicated, found := l.replicatedRow(id); found && replicated.Sequence > row.Sequence {
		row = replicated
	}
	l.planner.Adopt(time.Now(), id, row, stored.Version, durable)
}

// execute starts the write of a row in its own goroutine, or queues an order
// for its worker; the caller holds mu.
func (l *Leader) execute(decidedBy *planner.Planner, action planner.Action) {
	if action.Persist != nil {
		go l.persist(decidedBy, action)
		return
	}
	host, found := l.workerHosts[action.Worker]
	if !found {
		return
	}
	if l.ordersByEpoch[decidedBy.Epoch()] == nil {
		l.ordersByEpoch[decidedBy.Epoch()] = &epochOrders{}
	}
	l.ordersByEpoch[decidedBy.Epoch()].inProgress++
	host.orders = append(host.orders, queuedOrder{decidedBy: decidedBy, order: *action.Order})
	if !host.sending {
		host.sending = true
		go l.sendOrders(host)
	}
}

// sendOrders sends a worker's queued orders one at a time, because an engine
// refuses an order that arrives after one with a higher fencing number.
func (l *Leader) sendOrders(host *workerHost) {
	for {
		l.mu.Lock()
		if len(host.orders) == 0 {
			host.sending = false
			l.mu.Unlock()
			return
		}
		next := host.orders[0]
		host.orders = host.orders[1:]
		l.mu.Unlock()
		l.sendOrder(next.decidedBy, host.control, next.order)
	}
}

// persist writes a decision row to the platform's table. The write succeeds only
// if this leader's epoch row and the decision row are unchanged. If it gets
// no response, the row is replicated to the successors instead.
func (l *Leader) persist(decidedBy *planner.Planner, action planner.Action) {
	l.mu.Lock()
	delay := time.Until(l.retryPersistAt[action.Worker])
	epochCheck := platformclient.Check{Key: l.epochKey(), Version: l.epochVersion}
	l.mu.Unlock()
	time.Sleep(delay)
	key := l.rowPrefix() + action.Worker
	result, err := l.platform.Write(time.Now().Add(platformTimeout), platformclient.Transaction{
		Checks: []platformclient.Check{epochCheck, {Key: key, Version: action.Version}},
		Puts:   []platformclient.Row{{Key: key, Value: action.Persist.Encode()}},
	})
	switch {
	case err != nil:
		l.replicateRow(decidedBy, action)
	case result.Done:
		l.rowPersisted(decidedBy, action, result.Versions[key])
	default:
		l.resolveConflict(decidedBy, action, result.Conflicts)
	}
}

func (l *Leader) rowPersisted(decidedBy *planner.Planner, action planner.Action, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformSeenAt = time.Now()
	delete(l.replicatedOnly, action.Worker)
	decidedBy.RecordPersisted(action.Worker, action.Persist.Sequence, version)
	l.triggerPlan()
}

// replicateRow replicates a row to every successor if the lease is held over;
// otherwise, or if a successor does not promise, the write is retried later.
func (l *Leader) replicateRow(decidedBy *planner.Planner, action planner.Action) {
	l.mu.Lock()
	lease := l.elector.Lease()
	lease.Successors = l.elector.Successors()
	heldOver := l.elector.HeldOver(time.Now())
	l.mu.Unlock()
	row := &nodewire.Row{Key: l.rowPrefix() + action.Worker, Value: action.Persist.Encode(), Sequence: action.Persist.Sequence}
	if heldOver && l.replicate(lease, []*nodewire.Row{row}) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.replicatedOnly[action.Worker] = true
		decidedBy.RecordPersisted(action.Worker, action.Persist.Sequence, action.Version)
		l.triggerPlan()
		return
	}
	l.retryPersist(decidedBy, action.Worker, action.Version)
}

// retryPersist lets the planner write the row again after persistRetryDelay.
// Version is the version that the row now has in the table.
func (l *Leader) retryPersist(decidedBy *planner.Planner, worker string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryPersistAt[worker] = time.Now().Add(persistRetryDelay)
	decidedBy.RecordNotPersisted(worker, version)
}

// resolveConflict handles a write that conflicted with a stored row. Either an
// earlier write of the same row succeeded but its response was lost, or another
// leader has taken the lease.
func (l *Leader) resolveConflict(decidedBy *planner.Planner, action planner.Action, conflicts []platformclient.Row) {
	for _, conflict := range conflicts {
		if conflict.Key == l.epochKey() {
			log.Warn().Str("zone", l.zone).Int64("epoch", decidedBy.Epoch()).Msg("decision row not written: another leader has taken the lease")
			l.readLease()
			l.retryPersist(decidedBy, action.Worker, action.Version)
			return
		}
	}
	stored, err := planner.DecodeRow(action.Worker, conflicts[0].Value)
	if err == nil && stored.Epoch == decidedBy.Epoch() && stored.Sequence == action.Persist.Sequence {
		l.rowPersisted(decidedBy, action, conflicts[0].Version)
		return
	}
	l.retryPersist(decidedBy, action.Worker, conflicts[0].Version)
}

// sendOrder sends an order if this node still leads under the epoch of the
// decision, and passes the outcome to the planner.
func (l *Leader) sendOrder(decidedBy *planner.Planner, control *engineclient.Control, order planner.Order) {
	l.mu.Lock()
	epoch, leading := l.elector.Leading(time.Now())
	allowed := leading && l.planner == decidedBy && epoch == decidedBy.Epoch()
	l.mu.Unlock()
	if !allowed {
		l.orderEnded(decidedBy, order, planner.OrderRefused)
		return
	}
	response, err := control.Order(time.Now().Add(orderTimeout), engineclient.Order{
		ID: order.ID, Fence: order.Fence, Verb: order.Verb, Unit: order.Unit, Checkpoint: order.Checkpoint,
		Adapter: order.Adapter, Memory: order.Memory, LoadMS: order.LoadMS,
	})
	outcome := orderOutcome(response, err)
	log.Info().Str("zone", l.zone).Int64("epoch", decidedBy.Epoch()).Str("worker", order.Worker).Str("order", order.ID).
		Str("verb", order.Verb).Str("unit", order.Unit).Str("outcome", outcome.String()).Str("reason", response.Reason).Err(err).Msg("order sent")
	l.orderEnded(decidedBy, order, outcome)
}

// orderOutcome returns the outcome of a sent order. Only a response, or an error
// that says that the order was not executed, rules out a later effect.
func orderOutcome(response engineclient.OrderResponse, err error) planner.OrderOutcome {
	var notRun *engineclient.NotRunError
	switch {
	case errors.As(err, &notRun):
		return planner.OrderRefused
	case err != nil:
		return planner.OrderUnknown
	case response.Accepted:
		return planner.OrderAccepted
	default:
		return planner.OrderRefused
	}
}

func (l *Leader) orderEnded(decidedBy *planner.Planner, order planner.Order, outcome planner.OrderOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	issued := l.ordersByEpoch[decidedBy.Epoch()]
	issued.inProgress--
	if outcome == planner.OrderUnknown {
		issued.lastUnknownAt = now
	}
	decidedBy.RecordOutcome(now, order, outcome)
	l.triggerPlan()
}

// rewriteReplicated makes the planner write the rows that only the successors
// have to the table, once the lease is no longer held over.
func (l *Leader) rewriteReplicated() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.planner == nil || l.elector.HeldOver(time.Now()) {
		return
	}
	for worker := range l.replicatedOnly {
		l.planner.Rewrite(worker)
	}
	l.replicatedOnly = map[string]bool{}
}

// pollWorkers starts polling the reports of each worker that is not polled yet; the caller holds mu.
func (l *Leader) pollWorkers(decidedBy *planner.Planner) {
	for _, spec := range l.workerSpecs {
		host, found := l.workerHosts[spec.ID]
		if found && !host.polling {
			host.polling = true
			go l.pollWorker(decidedBy, spec.ID, host)
		}
	}
}

// pollWorker reads a worker's reports until this node no longer leads with the
// given planner, or the worker's address changes.
func (l *Leader) pollWorker(decidedBy *planner.Planner, id string, host *workerHost) {
	for l.pollOnce(decidedBy, id, host) {
		interval := reportInterval
		if l.isWorkerBusy(decidedBy, id) {
			interval = busyReportInterval
		}
		select {
		case <-l.stopped:
			return
		case <-time.After(interval):
		}
	}
	l.mu.Lock()
	host.polling = false
	l.mu.Unlock()
}

// pollOnce reads one report and reports whether polling goes on. A failed read does not end it.
func (l *Leader) pollOnce(decidedBy *planner.Planner, id string, host *workerHost) bool {
	report, err := host.control.Report(time.Now().Add(reportTimeout))
	l.mu.Lock()
	defer l.mu.Unlock()
	// A report that arrives after the lease expired may show the effects of another leader's orders.
	epoch, leading := l.elector.Leading(time.Now())
	if l.planner != decidedBy || l.workerHosts[id] != host || !leading || epoch != decidedBy.Epoch() {
		return false
	}
	if err == nil {
		decidedBy.Report(time.Now(), id, plannerReport(report))
		if decidedBy.Busy(id) {
			l.triggerPlan()
		}
	}
	return true
}

func (l *Leader) isWorkerBusy(decidedBy *planner.Planner, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return decidedBy.Busy(id)
}

func plannerReport(report engineclient.Report) planner.Report {
	converted := planner.Report{
		Incarnation: report.Incarnation, Sequence: report.Sequence, Caches: report.Caches, Orders: report.Orders,
		Running: report.Running, Queued: report.Queued, Leaving: report.Leaving,
	}
	for _, unit := range report.Units {
		converted.Units = append(converted.Units, planner.UnitState{Unit: unit.Unit, Ready: unit.Phase == planner.PhaseReady, Memory: unit.Memory})
	}
	return converted
}

// Leading returns the lease of the last row read or written, and whether this node holds it.
func (l *Leader) Leading() (lease elector.Lease, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leading = l.elector.Leading(time.Now())
	return l.elector.Lease(), leading
}
