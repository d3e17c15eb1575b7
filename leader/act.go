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

// persistRetry is the pause before a row that was not written is tried again.
const persistRetry = 250 * time.Millisecond

// planLoop lets the planner decide and carries its actions out.
func (l *Leader) planLoop() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
		case <-l.kicks:
		}
		l.plan()
	}
}

// plan runs one step of the planner.
func (l *Leader) plan() {
	l.adopt()
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
		l.start(l.planner, action)
	}
	if l.view.update(l.planner.View()) || len(actions) > 0 {
		l.announce()
	}
}

// adopt reads the decision rows of workers that the planner does not know yet.
func (l *Leader) adopt() {
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
	rows, err := l.platform.ReadRows(time.Now().Add(platformTime), keys, "")
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

// adoptRow gives the planner the newer of the stored and the held row; the caller holds mu.
func (l *Leader) adoptRow(id string, stored platformclient.Row) {
	var row planner.Row
	if stored.Version != 0 {
		decoded, err := planner.DecodeRow(id, stored.Value)
		if err != nil {
			log.Error().Str("zone", l.zone).Str("worker", id).Err(err).Msg("decision row cannot be read")
			return
		}
		row = decoded
	}
	durable := row.Sequence
	if held, found := l.heldRow(id); found && held.Sequence > row.Sequence {
		row = held
	}
	l.planner.Adopt(time.Now(), id, row, stored.Version, durable)
}

// start carries an action out in a goroutine of its own; the caller holds mu.
func (l *Leader) start(by *planner.Planner, action planner.Action) {
	if action.Persist != nil {
		go l.persist(by, action)
		return
	}
	host, found := l.hosts[action.Worker]
	if !found {
		return
	}
	if l.issued[by.Epoch()] == nil {
		l.issued[by.Epoch()] = &issuedOrders{}
	}
	l.issued[by.Epoch()].inFlight++
	host.orders = append(host.orders, issuedOrder{by: by, order: *action.Send})
	if !host.sending {
		host.sending = true
		go l.sendOrders(host)
	}
}

// sendOrders sends a worker's orders one after the other, because an engine
// refuses an order that a later one has overtaken.
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
		l.sendOrder(next.by, host.control, next.order)
	}
}

// persist writes a decision row, or replicates it while the platform is away.
func (l *Leader) persist(by *planner.Planner, action planner.Action) {
	l.mu.Lock()
	wait := time.Until(l.retryPersistAt[action.Worker])
	check := platformclient.Check{Key: l.epochKey(), Version: l.epochVersion}
	l.mu.Unlock()
	time.Sleep(wait)
	key := l.rowPrefix() + action.Worker
	verdict, err := l.platform.Write(time.Now().Add(platformTime), platformclient.Transaction{
		Checks: []platformclient.Check{check, {Key: key, Version: action.Version}},
		Puts:   []platformclient.Row{{Key: key, Value: action.Persist.Encode()}},
	})
	switch {
	case err != nil:
		l.persistElsewhere(by, action)
	case verdict.Done:
		l.persisted(by, action, verdict.Versions[key])
	default:
		l.resolvePersist(by, action, verdict.Conflicts)
	}
}

func (l *Leader) persisted(by *planner.Planner, action planner.Action, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.platformSeenAt = time.Now()
	delete(l.replicatedOnly, action.Worker)
	by.Persisted(action.Worker, action.Persist.Sequence, version)
	l.kick()
}

// persistElsewhere replicates a row to every successor if the lease is held
// over; otherwise the write is tried again later.
func (l *Leader) persistElsewhere(by *planner.Planner, action planner.Action) {
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
		by.Persisted(action.Worker, action.Persist.Sequence, action.Version)
		l.kick()
		return
	}
	l.persistAgain(by, action.Worker, action.Version)
}

// persistAgain lets the planner write the row once more after a pause.
func (l *Leader) persistAgain(by *planner.Planner, worker string, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retryPersistAt[worker] = time.Now().Add(persistRetry)
	by.NotPersisted(worker, version)
}

// resolvePersist finds out why a write met a conflict: its own earlier try
// that lost its answer, or another leader.
func (l *Leader) resolvePersist(by *planner.Planner, action planner.Action, conflicts []platformclient.Row) {
	for _, conflict := range conflicts {
		if conflict.Key == l.epochKey() {
			log.Warn().Str("zone", l.zone).Int64("epoch", by.Epoch()).Msg("another leader has taken the lease")
			l.readLease()
			l.persistAgain(by, action.Worker, action.Version)
			return
		}
	}
	stored, err := planner.DecodeRow(action.Worker, conflicts[0].Value)
	if err == nil && stored.Epoch == by.Epoch() && stored.Sequence == action.Persist.Sequence {
		l.persisted(by, action, conflicts[0].Version)
		return
	}
	l.persistAgain(by, action.Worker, conflicts[0].Version)
}

// sendOrder sends an order if this node still leads, and takes in its outcome.
func (l *Leader) sendOrder(by *planner.Planner, control *engineclient.Control, order planner.Order) {
	l.mu.Lock()
	epoch, leading := l.elector.Leading(time.Now())
	allowed := leading && l.planner == by && epoch == by.Epoch()
	l.mu.Unlock()
	if !allowed {
		l.orderEnded(by, order, planner.OrderRefused)
		return
	}
	answer, err := control.Order(time.Now().Add(orderTime), engineclient.Order{
		ID: order.ID, Fence: order.Fence, Verb: order.Verb, Unit: order.Unit, Checkpoint: order.Checkpoint,
		Adapter: order.Adapter, Memory: order.Memory, LoadMS: order.LoadMS,
	})
	outcome := orderOutcome(answer, err)
	log.Info().Str("zone", l.zone).Int64("epoch", by.Epoch()).Str("worker", order.Worker).Str("order", order.ID).
		Str("verb", order.Verb).Str("unit", order.Unit).Str("outcome", outcome.String()).Str("reason", answer.Reason).Err(err).Msg("order sent")
	l.orderEnded(by, order, outcome)
}

func orderOutcome(answer engineclient.OrderAnswer, err error) planner.OrderOutcome {
	var notRun *engineclient.NotRunError
	switch {
	case errors.As(err, &notRun):
		return planner.OrderRefused
	case err != nil:
		return planner.OrderUnknown
	case answer.Accepted:
		return planner.OrderAccepted
	default:
		return planner.OrderRefused
	}
}

func (l *Leader) orderEnded(by *planner.Planner, order planner.Order, outcome planner.OrderOutcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	issued := l.issued[by.Epoch()]
	issued.inFlight--
	if outcome == planner.OrderUnknown {
		issued.lastUnknownAt = now
	}
	by.Answered(now, order, outcome)
	l.kick()
}

// rewriteReplicated writes the rows that only the successors hold, once the platform is back.
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

// pollWorkers starts a report loop for each worker that has none; the caller holds mu.
func (l *Leader) pollWorkers(by *planner.Planner) {
	for _, spec := range l.specs {
		host, found := l.hosts[spec.ID]
		if found && !host.polling {
			host.polling = true
			go l.pollWorker(by, spec.ID, host)
		}
	}
}

// pollWorker reads a worker's reports while the planner decides.
func (l *Leader) pollWorker(by *planner.Planner, id string, host *workerHost) {
	for l.pollOnce(by, id, host) {
		interval := reportInterval
		if l.isBusy(by, id) {
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

// pollOnce reads one report; false means that the loop must end.
func (l *Leader) pollOnce(by *planner.Planner, id string, host *workerHost) bool {
	report, err := host.control.Report(time.Now().Add(reportTime))
	l.mu.Lock()
	defer l.mu.Unlock()
	// A report that comes after the lease lapsed may show another leader's decisions.
	epoch, leading := l.elector.Leading(time.Now())
	if l.planner != by || l.hosts[id] != host || !leading || epoch != by.Epoch() {
		return false
	}
	if err == nil {
		by.Report(time.Now(), id, plannerReport(report))
		if by.Busy(id) {
			l.kick()
		}
	}
	return true
}

func (l *Leader) isBusy(by *planner.Planner, id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return by.Busy(id)
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

// Leading returns the lease last seen, and whether this node holds it.
func (l *Leader) Leading() (lease elector.Lease, leading bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, leading = l.elector.Leading(time.Now())
	return l.elector.Lease(), leading
}
