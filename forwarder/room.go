package forwarder

import (
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/scheduler"
)

// placePollInterval is the longest time between two checks whether a waiting request may be sent: times after which a worker is tried again are
// multiples of it.
const placePollInterval = 20 * time.Millisecond

// minDispatchPause is the shortest time between two checks of a whole queue because of a change that wakes all of its calls.
const minDispatchPause = 5 * time.Millisecond

// room lets requests for models wait at this node while all workers that have the model are full. It is safe for concurrent use.
type room struct {
	// mu guards everything below, also the fields of calls that choosing a worker for them reads while they wait.
	mu     sync.Mutex
	places *scheduler.Places
	// queues holds the queue of each model for which a request ever came.
	queues map[queueKey]*placeQueue
}

type queueKey struct{ service, model string }

// placeQueue is the queue of one model; places holds the place of each ticket in it.
type placeQueue struct {
	queue  *scheduler.Queue
	places map[*scheduler.Ticket]*place
	// dispatchedAt is when places were last given to its calls, or it was found that none are free.
	dispatchedAt time.Time
}

// place is one call's place in a queue, and then at a worker.
type place struct {
	call   *call
	queue  *placeQueue
	ticket *scheduler.Ticket
	// granted is closed when the place at the worker is given.
	granted chan struct{}
	// worker is nil while the call waits; begunAt is when it was given a place there, paced is set unless an earlier call had left that place to it.
	worker  *registrar.Worker
	begunAt time.Time
	paced   bool
}

// grants returns the channel that is closed when the place is given; nil without a place.
func (p *place) grants() <-chan struct{} {
	if p == nil {
		return nil
	}
	return p.granted
}

// newRoom returns a room without calls, or nil unless wanted.
func newRoom(wanted bool) *room {
	if !wanted {
		return nil
	}
	return &room{places: scheduler.NewPlaces(), queues: map[queueKey]*placeQueue{}}
}

// queueOf returns the queue of a call's model; the caller holds mu.
func (r *room) queueOf(c *call) *placeQueue {
	key := queueKey{c.service.Name, c.Model}
	q, found := r.queues[key]
	if !found {
		q = &placeQueue{queue: scheduler.NewQueue(), places: map[*scheduler.Ticket]*place{}}
		r.queues[key] = q
	}
	return q
}

// pickModelWorker returns the worker that a call is to be sent to, or nil; full is set if there are such workers, but the call must wait for a
// place at one.
func (f *Forwarder) pickModelWorker(now time.Time, c *call, holders []fleettracker.Holder) (worker *registrar.Worker, full bool) {
	if f.room == nil {
		return f.chooseModelWorker(now, c, holders), false
	}
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	if c.place != nil && c.place.worker != nil {
		return c.place.worker, false
	}
	if _, candidates := f.candidates(now, c, holders); len(candidates) == 0 {
		f.room.leave(c)
		return nil, false
	}
	arrives := c.place == nil
	if arrives {
		q := f.room.queueOf(c)
		c.place = &place{call: c, queue: q, ticket: q.queue.Add(now, f.waitingRequest(c), rand.Float64()), granted: make(chan struct{})}
		q.places[c.place.ticket] = c.place
	}
	if arrives || now.Sub(c.place.queue.dispatchedAt) >= minDispatchPause {
		f.dispatch(now, c.place.queue)
	}
	return c.place.worker, c.place.worker == nil
}

// waitingRequest returns what the scheduler needs to know of a call.
func (f *Forwarder) waitingRequest(c *call) scheduler.Request {
	rank := scheduler.Rank{Route: c.route.Priority}
	if tenant, found := c.catalog.TenantByName(c.Tenant); found {
		rank.Tenant = tenant.Priority
	}
	return scheduler.Request{
		Tenant: c.Tenant, Route: c.route.Name, Rank: rank, PromptTokens: c.PromptTokens,
		ArrivedAt: c.arrived, DueAt: c.arrived.Add(c.route.TargetLatency()), LatestStart: f.latestFor(c.eventDeadline()),
	}
}

// leave takes a call that waits out of its queue; the caller holds mu.
func (r *room) leave(c *call) {
	if c.place == nil {
		return
	}
	c.place.queue.queue.Remove(c.place.ticket)
	delete(c.place.queue.places, c.place.ticket)
	c.place = nil
}

// candidates returns the workers that a call may be sent to if they have places; a worker that failed to serve the call before is closed for it.
// The caller holds the room's mu.
func (f *Forwarder) candidates(now time.Time, c *call, holders []fleettracker.Holder) ([]*registrar.Worker, []scheduler.Candidate) {
	var workers []*registrar.Worker
	var candidates []scheduler.Candidate
	affinity, otherWorkerCost := f.affinityWorker(c, holders)
	for i := range holders {
		holder := &holders[i]
		verdict, obstacle := f.judgeHolder(now, holder)
		if obstacle != "" {
			continue
		}
		known := scheduler.Known{Slots: holder.Worker.Slots, Reported: verdict.ReportedLoad, ReportedAt: verdict.ReportedAt}
		if announcement := f.dependencies.Tracker.Announcement(holder.Worker.ID); announcement != nil {
			known.Announced, known.AnnouncedAt = announcement.Running, announcement.ReceivedAt
		}
		id := holder.Worker.ID
		load, knownAt := f.room.places.Load(id, known)
		candidate := scheduler.Candidate{
			Load: load, Slots: holder.Worker.Slots, KnownAt: knownAt, Cost: f.standingCost(now, holder.Worker, &verdict),
			Closed: f.room.places.Closed(now, id) || now.Before(c.avoidUntil[id]), Passed: f.room.places.Passed(now, id),
		}
		if holder.Worker.ID != affinity {
			candidate.Cost += otherWorkerCost
		}
		workers, candidates = append(workers, holder.Worker), append(candidates, candidate)
	}
	return workers, candidates
}

// dispatch gives the places that are free to the calls whose turn it is; the caller holds mu.
func (f *Forwarder) dispatch(now time.Time, q *placeQueue) {
	q.dispatchedAt = now
	for f.dispatchOne(now, q, scheduler.ChoosePassed, false) {
	}
	for q.queue.MaySend(now) && f.dispatchOne(now, q, scheduler.Choose, true) {
	}
	if q.queue.MaySendFull(now) && f.dispatchOne(now, q, scheduler.ChooseFull, true) {
		f.dependencies.Recorder.Count("sends to workers that seem full")
	}
}

// choose returns the index of the worker for a call, or -1.
type choose func(now time.Time, candidates []scheduler.Candidate, draw float64) int

// dispatchOne gives a place to the first call that choose finds a worker for, and reports whether there was one; the send counts for the pauses
// between sends if paced is set. The caller holds mu.
func (f *Forwarder) dispatchOne(now time.Time, q *placeQueue, choose choose, paced bool) bool {
	var worker *registrar.Worker
	fullFor := map[string]bool{} // Adapters whose holders have no places.
	ticket := q.queue.Next(func(ticket *scheduler.Ticket) bool {
		c := q.places[ticket].call
		if fullFor[c.Adapter] {
			return false
		}
		workers, candidates := f.candidates(now, c, f.matching(c, f.dependencies.Tracker.Holders(now, c.service.Name, c.Model, c.Adapter)))
		chosen := choose(now, candidates, rand.Float64())
		if chosen < 0 {
			fullFor[c.Adapter] = c.origin == nil && len(c.avoidUntil) == 0
			return false
		}
		worker, c.workerLoad = workers[chosen], candidates[chosen].Load
		return true
	})
	if ticket == nil {
		return false
	}
	p := q.places[ticket]
	delete(q.places, ticket)
	q.queue.Start(now, ticket)
	f.room.places.Begin(now, worker.ID)
	if paced {
		q.queue.Sent(now, rand.Float64())
	}
	p.worker, p.begunAt, p.paced = worker, now, paced
	close(p.granted)
	return true
}

// acceptPlace records that the worker of a call's place has taken the call.
func (f *Forwarder) acceptPlace(c *call) {
	if f.room == nil || c.place == nil {
		return
	}
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	f.room.places.Accepted(c.place.worker.ID)
	c.place.queue.queue.Served(time.Now(), c.place.ticket)
	if c.place.paced {
		c.place.queue.queue.Answered(true)
	}
}

// endPlace ends a call's place after a send; err is the error of the send.
func (f *Forwarder) endPlace(c *call, err error) {
	if f.room == nil || c.place == nil {
		return
	}
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		f.room.mu.Lock()
		defer f.room.mu.Unlock()
		now := time.Now()
		f.room.places.End(now, c.place.worker.ID, c.place.begunAt)
		c.place = nil
		f.dispatchAll(now)
		return
	}
	f.cancelPlace(c, notRun.reason == ReasonFull)
}

// releasePlace gives a call's place back that it does not use, or takes it out of the queue.
func (f *Forwarder) releasePlace(c *call) {
	if f.room != nil && c.place != nil {
		f.cancelPlace(c, false)
	}
}

// cancelPlace ends a place that was not used; rejected is set if the worker turned the call away since it was full.
func (f *Forwarder) cancelPlace(c *call, rejected bool) {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	if c.place.worker == nil {
		f.room.leave(c)
		return
	}
	now := time.Now()
	f.room.places.Cancel(now, c.place.worker.ID, c.place.begunAt, rejected, rand.Float64())
	if rejected {
		c.place.queue.queue.Answered(false)
	}
	c.place = nil
	f.dispatchAll(now)
}

// dispatchAll gives places that have become free to calls of any model, since workers have several; the caller holds mu.
func (f *Forwarder) dispatchAll(now time.Time) {
	for _, q := range f.room.queues {
		if q.queue.Len() > 0 {
			f.dispatch(now, q)
		}
	}
}

// beginPlaceWait counts a call as waiting, which tells the leaders that its model needs more workers, and returns the function that ends that.
func (f *Forwarder) beginPlaceWait(c *call, holders int) (end func()) {
	logger.Info("request waits for a place").Str("request", c.ID).Str("model", c.Model).Str("adapter", c.Adapter).Int("holders", holders).
		Int64("left_ms", time.Until(c.startDeadline()).Milliseconds()).Msg("request waits for a place")
	f.dependencies.Recorder.Count("queued " + c.route.Name)
	return f.dependencies.DemandCounter.StartWaiting(c.modelKey(), c.arrived.Add(c.route.TargetLatency()))
}

// checkPlaceWait returns nil if a call may go on waiting for a place, else the error with which it ends.
func (f *Forwarder) checkPlaceWait(now time.Time, c *call, holders []fleettracker.Holder) error {
	moreAt, _ := earliestReady(holders)
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	if c.place.worker != nil {
		return nil
	}
	c.place.ticket.Request().LatestStart = f.latestFor(c.eventDeadline())
	retryAt, late := c.place.queue.queue.Late(now, c.place.ticket, moreAt, rand.Float64())
	if !late {
		return nil
	}
	f.dependencies.DemandCounter.CountRefusal(c.modelKey())
	return c.refuseFull(retryAt.Sub(now))
}

// refuseFull returns the refusal of a call that would wait for a place for too long.
func (c *call) refuseFull(retry time.Duration) *FailureError {
	return c.refuse(codeFull, "the workers that have the model are full, and the request cannot be served in time", retry)
}

// codeFull is the code of refusals because workers are full.
const codeFull = "full"

// endFull returns the error of a call that ends with err after its last send failed with sendErr. If workers were full, leaders are told of the
// refusal, and the retry delay becomes the time after which the requests that wait here should have got places.
func (f *Forwarder) endFull(c *call, sendErr, err error) error {
	var failure *FailureError
	if f.room == nil || !errors.As(err, &failure) || failure.code != codeFull || failure.retryMS == 0 {
		return err
	}
	var notRun *NotRunError
	if errors.As(sendErr, &notRun) && notRun.reason == ReasonFull { // Not a worker that crashed or has unloaded the model.
		f.dependencies.DemandCounter.CountRefusal(c.modelKey())
	}
	now := time.Now()
	moreAt, _ := earliestReady(f.dependencies.Tracker.Holders(now, c.service.Name, c.Model, c.Adapter))
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	failure.retryMS = f.room.queueOf(c).queue.RetryAt(now, moreAt, rand.Float64()).Sub(now).Milliseconds()
	return failure
}
