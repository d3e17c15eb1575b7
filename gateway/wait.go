package gateway

import (
	"errors"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/loadrequester"
	"github.com/acaciaproxy/acaciaproxy/queuer"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// assignmentPollInterval is how often a suspect that waits for an assigned worker is checked again.
const assignmentPollInterval = 100 * time.Millisecond

// waitForAssignment waits until a suspect has an assigned worker or is cleared of the
// suspicion. It returns immediately for other requests.
func (g *Gateway) waitForAssignment(m *modelRequest) error {
	for m.suspect && m.assignedWorker == "" {
		if !time.Now().Add(assignmentPollInterval).Before(m.request.deadline) {
			return g.refuseSaturated(m, "suspected of crashing an endpoint, and no endpoint is free to try it", time.Now().Add(busyRetryDelay))
		}
		time.Sleep(assignmentPollInterval)
		if err := g.applyVerdict(m, g.dependencies.CrashReporter.Recheck(m.fingerprint)); err != nil {
			return err
		}
	}
	return nil
}

// chooseWorker sets the worker of the next attempt. It waits for an assigned worker,
// for the unit to be loaded or for a free slot if needed.
func (g *Gateway) chooseWorker(m *modelRequest) error {
	for {
		if err := g.waitForAssignment(m); err != nil {
			return err
		}
		candidates := g.candidates(m)
		if len(candidates) == 0 {
			if err := g.waitForLoad(m); err != nil {
				return err
			}
			continue
		}
		chosen := balancer.Choose(candidates, m.prefixHash, uint64(time.Now().UnixNano())^uint64(g.requests.Load()))
		if chosen >= 0 {
			m.worker = candidates[chosen].ID
			g.dependencies.ReportUse(m.unit, m.worker, false)
			return nil
		}
		if err := g.waitForSlot(m); err != nil {
			return err
		}
	}
}

// candidates returns the workers that have the unit loaded and may run the request.
func (g *Gateway) candidates(m *modelRequest) []balancer.Candidate {
	all := g.dependencies.Tracker.Candidates(time.Now(), m.unit, g.dependencies.Settings.Zone(), m.excluded)
	if m.assignedWorker != "" {
		return onlyAssigned(all, m.assignedWorker)
	}
	return all
}

// onlyAssigned returns the assigned worker's candidate, or nil when it is not among them.
func onlyAssigned(candidates []balancer.Candidate, assigned string) []balancer.Candidate {
	for _, candidate := range candidates {
		if candidate.ID == assigned {
			return []balancer.Candidate{candidate}
		}
	}
	return nil
}

// waitForLoad waits until the unit is loaded on a worker.
func (g *Gateway) waitForLoad(m *modelRequest) error {
	began := time.Now()
	if len(m.excluded) > 0 {
		// An excluded worker may be the only one with the unit, so all become eligible again.
		m.excluded = map[string]bool{}
		time.Sleep(declinedRetryDelay)
	}
	g.dependencies.Recorder.Count("cold")
	err := g.dependencies.LoadRequester.Wait(loadrequester.Request{Unit: m.unit, Class: m.request.class, ID: m.request.id, Deadline: m.request.deadline, Worker: m.assignedWorker})
	g.observe(m.request, recorder.MeasureLoadWait, time.Since(began))
	var refused *loadrequester.RefusedError
	if errors.As(err, &refused) {
		return m.request.refuse(fiber.StatusServiceUnavailable, "not_loaded", refused.Error(), refused.RetryAt())
	}
	return err
}

// slotPollInterval is how often a queued request checks the workers for a free slot:
// this node is not notified when another node's request releases one.
const slotPollInterval = 100 * time.Millisecond

// waitForSlot queues the request until it is granted a slot. The request may be
// refused on entry to the queue or at its deadline; in between it keeps its place.
func (g *Gateway) waitForSlot(m *modelRequest) error {
	began := time.Now()
	g.dependencies.ReportUse(m.unit, "", true)
	ticket, err := g.dependencies.Queuer.Enter(began, queuer.Request{
		Unit: m.unit, Class: m.request.class, Tenant: m.request.tenantName, Weight: m.request.weight(), Deadline: m.request.deadline,
	})
	var full *queuer.FullError
	if errors.As(err, &full) {
		return g.refuseSaturated(m, full.Error(), full.RetryAt())
	}
	defer g.dependencies.Queuer.Leave(ticket)
	defer func() { g.observe(m.request, recorder.MeasureQueue, time.Since(began)) }()
	for {
		select {
		case <-ticket.Granted():
			return nil
		case <-time.After(slotPollInterval):
		}
		now := time.Now()
		if !now.Before(m.request.deadline) {
			return g.refuseSaturated(m, "deadline passed in the queue", now.Add(busyRetryDelay))
		}
		if candidates := g.candidates(m); len(candidates) == 0 || balancer.Choose(candidates, 0, 0) >= 0 {
			g.dependencies.Queuer.Release(now, m.unit)
		}
	}
}

// refuseSaturated returns the failure of a request that got no free worker.
func (g *Gateway) refuseSaturated(m *modelRequest, message string, retryAt time.Time) error {
	return m.request.refuse(fiber.StatusServiceUnavailable, "saturated", message, retryAt)
}
