package forwarder

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/scheduler"
	"github.com/acaciaproxy/acaciaproxy/selector"
)

// Reasons for which a worker that may be sent a request is not chosen.
const (
	reasonFull   = "full"
	reasonZone   = "other zone's cost"
	reasonHigher = "higher cost"
	// reasonOthers means that others that wait come first, reasonPause that the node pauses between sends since workers reject requests.
	reasonOthers = "others wait first"
	reasonPause  = "pause after rejections"
	// leastChance is the probability below which a worker counts as not chosen.
	leastChance = 0.001
)

// choice are the workers that a request may be sent to, as the functions that serve requests rate them.
type choice struct {
	workers []*registrar.Worker
	loads   []int
	costs   []float64
	chances []float64
	// full are the workers that have no place for the request, held is why none gets it at once although some have; both are empty where requests do
	// not wait for places.
	full []bool
	held string
	// remoteCost is the part of a worker's cost that is due to another zone, spread the difference of costs up to which chance decides.
	remoteCost, spread float64
}

// index returns the index of a worker, or -1 if it may not be sent the request.
func (o *choice) index(worker *registrar.Worker) int {
	_, i, _ := lo.FindIndexOf(o.workers, func(candidate *registrar.Worker) bool { return candidate.ID == worker.ID })
	return i
}

// option returns the worker with an index as an option.
func (o *choice) option(zone string, i int) Option {
	worker := o.workers[i]
	option := Option{Worker: worker.ID, Zone: worker.Zone, Load: o.loads[i], Slots: worker.Slots, Cost: math.Round(o.costs[i]*100) / 100}
	if o.chances[i] >= leastChance {
		option.Chance = math.Round(o.chances[i]*1000) / 1000
		return option
	}
	switch {
	case o.full != nil && o.full[i] || o.full == nil && o.loads[i] >= worker.Slots:
		option.Reason = reasonFull
	case o.held != "":
		option.Reason = o.held
	case worker.Zone != zone && o.costs[i]-o.remoteCost < lo.Min(o.costs)+o.spread:
		option.Reason = reasonZone
	default:
		option.Reason = reasonHigher
	}
	return option
}

// blocked returns a worker that must not be sent the request as an option.
func blocked(now time.Time, worker *registrar.Worker, why obstacle, until time.Time) Option {
	option := Option{Worker: worker.ID, Zone: worker.Zone, Reason: string(why)}
	if why == "brittle" {
		option.Reason = reasonFull
	}
	if !until.IsZero() {
		option.UntilMS = until.Sub(now).Milliseconds()
	}
	return option
}

// lookAtPlain records the workers for a call without a model, as choosePlainWorker would find them, and returns the error with which the call would
// end.
func (f *Forwarder) lookAtPlain(now time.Time, c *call, d *Destination) error {
	found := choice{remoteCost: plainRemoteCost, spread: selector.Spread}
	var candidates []selector.Candidate
	var first verdict
	workers := f.dependencies.Workers.Fleet().OfService(c.service.Name)
	obstacles := map[string]Option{}
	for _, worker := range workers {
		verdict, obstacle := f.judgePlain(now, c, worker)
		if obstacle != "" {
			first = first.orEarlier(verdict)
			obstacles[worker.ID] = blocked(now, worker, obstacle, verdict.retryAt)
			continue
		}
		candidate := f.plainCandidate(now, worker, &verdict)
		candidates, found.workers, found.loads = append(candidates, candidate), append(found.workers, worker), append(found.loads, candidate.Load)
	}
	found.costs = selector.Costs(candidates)
	found.chances = selector.Chances(found.costs, selector.Spread)
	f.listOptions(d, workers, obstacles, &found)
	d.PassedOn = c.mayCarry() && (len(candidates) == 0 && f.lacksPath(c) || f.reach.WouldCarry(now))
	if len(candidates) == 0 && !d.PassedOn {
		return c.refusePlain(now, first)
	}
	return nil
}

// listOptions records the workers of a service.
func (f *Forwarder) listOptions(d *Destination, workers []*registrar.Worker, obstacles map[string]Option, found *choice) {
	d.Workers = lo.Map(workers, func(worker *registrar.Worker, _ int) Option {
		if i := found.index(worker); i >= 0 {
			return found.option(f.dependencies.Zone, i)
		}
		return obstacles[worker.ID]
	})
}

// lookAtHolders records the workers for a call for a model, as acquireWorker would find them, and returns the error with which the call would end.
func (f *Forwarder) lookAtHolders(now time.Time, c *call, d *Destination) error {
	if err := c.checkModel(); err != nil {
		return err
	}
	all := f.dependencies.Tracker.Holders(now, c.service.Name, c.Model, c.Adapter)
	holders := f.matching(c, all)
	workers := f.dependencies.Workers.Fleet().OfService(c.service.Name)
	obstacles := f.modelObstacles(now, c, workers, all)
	if d.PassedOn = c.mayCarry() && f.reach.WouldCarry(now); c.origin != nil && len(holders) == 0 && !d.PassedOn {
		f.listOptions(d, workers, obstacles, &choice{})
		return c.versionRefusal()
	}
	var found choice
	var err error
	if f.room == nil {
		found = f.rateHolders(now, c, holders)
	} else {
		found, err = f.lookAtRoom(now, c, holders, d)
	}
	f.listOptions(d, workers, obstacles, &found)
	if err != nil || len(found.workers) > 0 || d.PassedOn {
		return err
	}
	if d.PassedOn = f.lacksPath(c); d.PassedOn {
		return nil
	}
	return f.lookAtWait(now, c, holders, d)
}

// lookAtWait records the wait of a call for a worker that has its model, and returns the error with which the call would end at once.
func (f *Forwarder) lookAtWait(now time.Time, c *call, holders []fleettracker.Holder, d *Destination) error {
	if _, err := f.judgeWait(now, now, c, holders); err != nil {
		return err
	}
	expected, estimated := f.estimateReady(now, c, holders)
	switch {
	case !estimated && len(f.dependencies.Tracker.LiveZones(now)) == 0:
		d.wait(now, "leader", time.Time{}, now.Add(noLeaderWait), 0)
	case !estimated:
		if first, isBlocked := f.blockedUntil(now, holders); isBlocked {
			expected = first.retryAt
		}
		d.wait(now, "model", expected, f.latestStart(c), 0)
	default:
		d.wait(now, "model", expected, f.latestStart(c), 0)
	}
	return nil
}

// modelObstacles returns the workers of a service that must not be sent a call, by ID.
func (f *Forwarder) modelObstacles(now time.Time, c *call, workers []*registrar.Worker, holders []fleettracker.Holder) map[string]Option {
	byID := lo.KeyBy(holders, func(holder fleettracker.Holder) string { return holder.Worker.ID })
	obstacles := map[string]Option{}
	for _, worker := range workers {
		holder, holds := byID[worker.ID]
		switch {
		case worker.Leaving:
			obstacles[worker.ID] = blocked(now, worker, obstacleLeaving, time.Time{})
		case !f.matches(c, worker):
			obstacles[worker.ID] = blocked(now, worker, obstacleSoftware, time.Time{})
		case !holds:
			obstacles[worker.ID] = blocked(now, worker, obstacleNoModel, time.Time{})
		default:
			verdict, obstacle := f.judgeHolder(now, &holder)
			until := verdict.retryAt
			if obstacle == obstacleLoading {
				until = holder.ReadyAt
			}
			obstacles[worker.ID] = blocked(now, worker, obstacle, until)
		}
	}
	return obstacles
}

// rateHolders returns the choice of chooseModelWorker.
func (f *Forwarder) rateHolders(now time.Time, c *call, holders []fleettracker.Holder) choice {
	found := choice{remoteCost: modelRemoteCost, spread: modelCostJitter}
	affinity, otherWorkerCost := f.affinityWorker(c, holders)
	for i := range holders {
		holder := &holders[i]
		verdict, obstacle := f.judgeHolder(now, holder)
		if obstacle != "" {
			continue
		}
		load, cost := f.modelCost(now, holder, &verdict)
		if holder.Worker.ID != affinity {
			cost += otherWorkerCost
		}
		found.workers, found.loads, found.costs = append(found.workers, holder.Worker), append(found.loads, load), append(found.costs, cost)
	}
	found.chances = selector.Chances(found.costs, modelCostJitter)
	return found
}

// lookAtRoom returns the choice of pickModelWorker for a call that has no place yet, records its wait for one, and returns the error with which the
// call would end at once.
func (f *Forwarder) lookAtRoom(now time.Time, c *call, holders []fleettracker.Holder, d *Destination) (choice, error) {
	f.room.mu.Lock()
	defer f.room.mu.Unlock()
	workers, candidates := f.candidates(now, c, holders)
	found := choice{workers: workers, remoteCost: modelRemoteCost, chances: make([]float64, len(candidates))}
	for i := range candidates {
		found.loads, found.costs = append(found.loads, candidates[i].Load), append(found.costs, candidates[i].Cost)
	}
	weights := scheduler.Weights(now, candidates)
	found.full = lo.Map(weights, func(weight float64, _ int) bool { return weight == 0 })
	if len(candidates) == 0 {
		return found, nil
	}
	queue := scheduler.NewQueue()
	if known, found := f.room.queues[queueKey{c.service.Name, c.Model}]; found {
		queue = known.queue
	}
	moreAt, _ := earliestReady(holders)
	outlook := queue.Foresee(now, f.waitingRequest(c), moreAt)
	found.chances = placeChances(now, candidates, weights, &outlook)
	if lo.Sum(found.chances) > 0 {
		return found, nil
	}
	found.held = lo.Ternary(outlook.Before > 0, reasonOthers, reasonPause)
	if outlook.Late {
		return found, c.refuseFull(outlook.RetryAt.Sub(now))
	}
	d.wait(now, "place", outlook.StartAt, f.latestStart(c), outlook.Before)
	return found, nil
}

// placeChances returns the probabilities with which dispatch would give a call a place at each candidate at once.
func placeChances(now time.Time, candidates []scheduler.Candidate, weights []float64, outlook *scheduler.Outlook) []float64 {
	chances := make([]float64, len(candidates))
	if outlook.Before > 0 {
		return chances
	}
	if chosen := scheduler.ChoosePassed(now, candidates, 0); chosen >= 0 {
		chances[chosen] = 1
		return chances
	}
	if !outlook.MaySend {
		return chances
	}
	if total := lo.Sum(weights); total > 0 {
		return lo.Map(weights, func(weight float64, _ int) float64 { return weight / total })
	}
	if chosen := scheduler.ChooseFull(now, candidates, rand.Float64()); outlook.MaySendFull && chosen >= 0 {
		chances[chosen] = 1
	}
	return chances
}
