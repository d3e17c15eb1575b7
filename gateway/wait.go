package gateway

import (
	"errors"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/asker"
	"github.com/acaciaproxy/acaciaproxy/queuer"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/router"
)

// assignPoll is how often a suspect that waits for a worker asks again.
const assignPoll = 100 * time.Millisecond

// waitAssigned waits until a suspect has a worker to itself or is cleared.
func (g *Gateway) waitAssigned(a *attempt) error {
	for a.suspect && a.assigned == "" {
		if !time.Now().Add(assignPoll).Before(a.request.deadline) {
			return g.refuseSaturated(a, "suspected of crashing an endpoint, and no endpoint is free to try it", time.Now().Add(busyRetry))
		}
		time.Sleep(assignPoll)
		if err := g.obeyVerdict(a, g.parts.Isolator.Recheck(a.fingerprint)); err != nil {
			return err
		}
	}
	return nil
}

// chooseWorker sets the attempt's worker, waiting for a load or a free slot if needed.
func (g *Gateway) chooseWorker(a *attempt) error {
	for {
		if err := g.waitAssigned(a); err != nil {
			return err
		}
		candidates := g.candidates(a)
		if len(candidates) == 0 {
			if err := g.waitCold(a); err != nil {
				return err
			}
			continue
		}
		chosen := router.Choose(candidates, a.prefix, uint64(time.Now().UnixNano())^uint64(g.requests.Load()))
		if chosen >= 0 {
			a.worker = candidates[chosen].ID
			g.parts.Used(a.unit, a.worker, false)
			return nil
		}
		if err := g.waitSaturated(a); err != nil {
			return err
		}
	}
}

// candidates returns the workers that may run the request now.
func (g *Gateway) candidates(a *attempt) []router.Candidate {
	found := g.parts.Tracker.Candidates(time.Now(), a.unit, g.parts.Settings.Zone(), a.excluded)
	if a.assigned != "" {
		return onlyAssigned(found, a.assigned)
	}
	return found
}

func onlyAssigned(candidates []router.Candidate, assigned string) []router.Candidate {
	for _, candidate := range candidates {
		if candidate.ID == assigned {
			return []router.Candidate{candidate}
		}
	}
	return nil
}

// waitCold waits until the unit is loaded somewhere.
func (g *Gateway) waitCold(a *attempt) error {
	began := time.Now()
	if len(a.excluded) > 0 {
		// A worker that failed may be the only one; it may be tried again.
		a.excluded = map[string]bool{}
		time.Sleep(declinedPause)
	}
	g.parts.Recorder.Count("cold")
	err := g.parts.Asker.Wait(asker.Request{Unit: a.unit, Class: a.request.class, ID: a.request.id, Deadline: a.request.deadline, Worker: a.assigned})
	g.observe(a.request, recorder.MeasureCold, time.Since(began))
	var refused *asker.RefusedError
	if errors.As(err, &refused) {
		if a.request.mayHaveRun {
			return newUnknown("broken", "an earlier attempt may have run, and the model is not loaded in time: "+refused.Reason())
		}
		return newRefusal(fiber.StatusServiceUnavailable, "not_loaded", refused.Error(), refused.RetryAt())
	}
	return err
}

// slotPoll is how often a request that waits looks whether a worker has a slot
// that other nodes' requests have left.
const slotPoll = 100 * time.Millisecond

// waitSaturated waits until it is this request's turn for a slot. It is refused
// when it enters the queue or not before its deadline, and keeps its place.
func (g *Gateway) waitSaturated(a *attempt) error {
	began := time.Now()
	g.parts.Used(a.unit, "", true)
	ticket, err := g.parts.Queuer.Enter(began, queuer.Request{
		Unit: a.unit, Class: a.request.class, Tenant: a.request.name, Weight: a.request.weight(), Deadline: a.request.deadline,
	})
	var full *queuer.FullError
	if errors.As(err, &full) {
		return g.refuseSaturated(a, full.Error(), full.RetryAt())
	}
	defer g.parts.Queuer.Leave(ticket)
	defer func() { g.observe(a.request, recorder.MeasureQueue, time.Since(began)) }()
	for {
		select {
		case <-ticket.Granted():
			return nil
		case <-time.After(slotPoll):
		}
		now := time.Now()
		if !now.Before(a.request.deadline) {
			return g.refuseSaturated(a, "deadline passed in the queue", now.Add(busyRetry))
		}
		if candidates := g.candidates(a); len(candidates) == 0 || router.Choose(candidates, 0, 0) >= 0 {
			g.parts.Queuer.Release(now, a.unit)
		}
	}
}

func (g *Gateway) refuseSaturated(a *attempt, message string, retryAt time.Time) error {
	if a.request.mayHaveRun {
		return newUnknown("broken", "an earlier attempt may have run, and all endpoints are saturated: "+message)
	}
	return newRefusal(fiber.StatusServiceUnavailable, "saturated", message, retryAt)
}
