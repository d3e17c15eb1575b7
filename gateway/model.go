package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/quarantiner"
)

// modelRequest is the state of a request for one unit across its attempts.
type modelRequest struct {
	request *callerRequest
	body    *completionBody
	path    string
	unit    string
	// fingerprint is a hash of unit and content that identifies requests that crash workers.
	fingerprint string
	// assignedWorker is the only worker that may run the request if it is a suspect; empty for none.
	assignedWorker string
	// suspect is set while the request is suspected of having crashed a worker.
	suspect bool
	// excluded is the set of workers that failed or declined the request.
	excluded map[string]bool
	// retries counts the failed attempts that may have run.
	retries int
	// declinedAttempts counts the attempts that certainly did not run.
	declinedAttempts int
	// worker is the worker of the current attempt.
	worker string
	// incarnation identifies the run of the worker's process when the attempt began; 0 when it was not known.
	incarnation int64
	// prefixHash selects the workers that may have the prompt's prefix cached.
	prefixHash uint64
}

const (
	// maxDeclinedAttempts is the number of declined attempts at which a request fails.
	maxDeclinedAttempts = 8
	// declinedRetryDelay is the wait between attempts after one was declined.
	declinedRetryDelay = 20 * time.Millisecond
)

// serveModel serves a request for a model by its route. While the request is refused,
// it is served by the fallback of the route, if there is one.
func (g *Gateway) serveModel(c fiber.Ctx, request *callerRequest, body completionBody, release func()) (streaming bool, err error) {
	if err := g.claimKey(c, request, body.prompt()); err != nil {
		return g.replayResponse(c, request, err)
	}
	path := strings.Clone(c.Path())
	for {
		streaming, err = g.serveUnit(c, request, &body, path, release)
		fallback, found := request.versioned.Configuration().Route(request.route.Fallback())
		if err == nil || !found || asFailure(err).outcome != OutcomeRefused {
			break
		}
		request.route = fallback
	}
	if err != nil {
		g.endClaim(request, err)
	}
	return streaming, err
}

// UnitOf returns the unit that a route names: "version" or "version/adapter".
// It returns false when the route's model is not configured.
func UnitOf(configuration *configreader.Configuration, route configreader.Route) (string, bool) {
	modelName := route.Model()
	adapter, isAdapter := configuration.Adapter(route.Adapter())
	if isAdapter {
		modelName = adapter.Model()
	}
	model, found := configuration.Model(modelName)
	if !found {
		return "", false
	}
	if isAdapter {
		return model.Version() + "/" + adapter.Name(), true
	}
	return model.Version(), true
}

// serveUnit serves the request with the unit of its current route. It returns whether
// the response is a stream, which is still being sent.
func (g *Gateway) serveUnit(c fiber.Ctx, request *callerRequest, body *completionBody, path string, release func()) (bool, error) {
	unit, found := UnitOf(request.versioned.Configuration(), request.route)
	if !found {
		return false, newRejection(fiber.StatusNotFound, "no_route", fmt.Sprintf("route %q names no model", request.route.Name()))
	}
	prompt := body.prompt()
	m := &modelRequest{
		request: request, body: body, path: path, unit: unit,
		fingerprint: crashreporter.Fingerprint(unit, prompt), excluded: map[string]bool{}, prefixHash: balancer.PrefixHash(unit, prompt),
	}
	if err := g.checkQuarantine(m); err != nil {
		return false, err
	}
	response, err := g.sendWithRetries(m)
	if err != nil {
		return false, err
	}
	if body.Stream {
		g.relayStream(c, m, response, release)
		return true, nil
	}
	return false, g.relayBuffered(c, m, response)
}

// checkQuarantine returns a failure when the request's content is quarantined.
func (g *Gateway) checkQuarantine(m *modelRequest) error {
	return g.applyVerdict(m, g.dependencies.CrashReporter.Check(m.fingerprint))
}

// applyVerdict sets whether the request is a suspect and its assigned worker, and
// returns a failure when the request is quarantined.
func (g *Gateway) applyVerdict(m *modelRequest, verdict quarantiner.Verdict) error {
	m.suspect, m.assignedWorker = verdict.Suspected, verdict.Worker
	if verdict.QuarantinedUntil.IsZero() {
		return nil
	}
	failure := &FailureError{
		status: fiber.StatusServiceUnavailable, code: "quarantined", outcome: OutcomeRefused, retryAt: verdict.RetryAt,
		message: "this request crashed the endpoints that ran it",
	}
	return failure.withoutFalsePromise(m.request)
}

// sendWithRetries sends the request to one worker after another until a response
// begins or no further attempt is allowed.
func (g *Gateway) sendWithRetries(m *modelRequest) (*engineclient.Response, error) {
	g.budget.deposit()
	for {
		if err := g.chooseWorker(m); err != nil {
			return nil, err
		}
		response, err := g.sendAttempt(m, 0)
		if err == nil {
			return response, nil
		}
		if err := g.handleAttemptFailure(m, err); err != nil {
			return nil, err
		}
	}
}

// sendAttempt sends the request to the chosen worker. resumeFrom is the number of
// tokens already relayed to the caller.
func (g *Gateway) sendAttempt(m *modelRequest, resumeFrom int) (*engineclient.Response, error) {
	body, err := m.body.encode(m.unit, resumeFrom)
	if err != nil {
		return nil, err
	}
	address, incarnation := g.dependencies.Tracker.Begin(m.worker)
	m.incarnation = incarnation
	m.request.ledger.Begin()
	response, err := g.engineClient(address).Complete(engineclient.Call{
		ID: m.request.id, Path: m.path, Body: body, Deadline: m.request.deadline, Priority: m.request.class,
		Once: !m.request.route.Idempotent() || m.request.claim != nil,
	})
	var notRun *engineclient.NotRunError
	if errors.As(err, &notRun) {
		m.request.ledger.Prove(notRun.Proof())
	}
	if err != nil {
		g.dependencies.Tracker.End(time.Now(), m.worker, isWorkerFault(err))
		g.dependencies.Queuer.Release(time.Now(), m.unit)
	}
	return response, err
}

// isWorkerFault reports whether err counts as a failure of the worker. A request that
// the engine itself declined does not.
func isWorkerFault(err error) bool {
	var notRun *engineclient.NotRunError
	return !errors.As(err, &notRun) || !notRun.DeclinedByEngine()
}

// endAttempt releases the worker's slot after an attempt whose response began. If the
// attempt did not fail, a suspect is cleared of the suspicion.
func (g *Gateway) endAttempt(m *modelRequest, failed bool) {
	now := time.Now()
	g.dependencies.Tracker.End(now, m.worker, failed)
	g.dependencies.Queuer.Release(now, m.unit)
	if m.suspect && !failed {
		g.dependencies.CrashReporter.Clear(m.fingerprint)
	}
}

// handleAttemptFailure returns nil when another attempt is allowed, else the
// request's failure.
func (g *Gateway) handleAttemptFailure(m *modelRequest, err error) error {
	now := time.Now()
	var notRun *engineclient.NotRunError
	if errors.As(err, &notRun) {
		return g.handleDeclined(m, notRun)
	}
	g.engineClient(g.dependencies.Tracker.Address(m.worker)).CloseIdleConnections()
	log.Info().Str("request", m.request.id).Str("worker", m.worker).Str("unit", m.unit).Err(err).Msg("attempt broke")
	m.excluded[m.worker] = true
	if failure := g.reportCrash(m, err); failure != nil {
		return failure
	}
	route := m.request.route
	if !route.Idempotent() || m.request.claim != nil {
		return newUnknown("broken", "the answer of the endpoint did not arrive whole: "+err.Error())
	}
	m.retries++
	if m.retries > route.Retries() && !m.suspect || !now.Before(m.request.deadline) || !g.budget.withdraw() {
		return newUnknown("broken", "the endpoints' answers did not arrive whole: "+err.Error())
	}
	g.dependencies.Recorder.Count("retries")
	return nil
}

// handleDeclined returns nil when another attempt is allowed after a declined one,
// which certainly did not run, else the request's failure.
func (g *Gateway) handleDeclined(m *modelRequest, notRun *engineclient.NotRunError) error {
	m.declinedAttempts++
	log.Info().Str("request", m.request.id).Str("worker", m.worker).Str("unit", m.unit).Int("declined", m.declinedAttempts).Err(notRun).Msg("attempt declined")
	switch notRun.Reason() {
	case "not loaded":
		g.dependencies.Tracker.SetAbsent(m.worker, m.unit)
	case "leaving":
		g.dependencies.Tracker.SetLeaving(m.worker)
	default:
		m.excluded[m.worker] = true
	}
	if m.declinedAttempts < maxDeclinedAttempts {
		time.Sleep(declinedRetryDelay)
		return nil
	}
	return m.request.refuse(fiber.StatusServiceUnavailable, "declined", "no endpoint took the request: "+notRun.Error(), time.Now().Add(busyRetryDelay))
}

// reportCrash reports a crash of the worker if err may be due to one and the worker
// did crash. It returns a failure when the request is quarantined for it.
func (g *Gateway) reportCrash(m *modelRequest, err error) error {
	var broken *engineclient.BrokenError
	if !errors.As(err, &broken) || !broken.PossibleCrash() || !g.hasCrashed(m) {
		return nil
	}
	return g.applyVerdict(m, g.dependencies.CrashReporter.ReportCrash(m.worker, m.incarnation, m.fingerprint))
}

// crashProbeTimeout bounds the read of a worker's report after a connection to it failed.
const crashProbeTimeout = 500 * time.Millisecond

// hasCrashed reports whether the worker has restarted since the attempt began, or is unreachable while another one is reachable: else this
// node may have lost the path to all of them.
func (g *Gateway) hasCrashed(m *modelRequest) bool {
	report, err := g.readReport(m.worker)
	if err == nil {
		return m.incarnation != 0 && report.Incarnation != m.incarnation
	}
	others := g.witnesses(m.worker)
	if len(others) == 0 {
		return true
	}
	answers := make(chan bool, len(others))
	for _, other := range others {
		go func() {
			_, err := g.readReport(other)
			answers <- err == nil
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	log.Info().Str("request", m.request.id).Str("worker", m.worker).Strs("witnesses", others).Err(err).Msg("worker unreachable, but so are others: no crash")
	return false
}

// readReport reads the report of a worker.
func (g *Gateway) readReport(worker string) (engineclient.Report, error) {
	return g.engineClient(g.dependencies.Tracker.Address(worker)).Report(time.Now().Add(crashProbeTimeout))
}

// maxWitnesses is the number of other workers of which one must be reachable for a worker that is not to count as crashed.
const maxWitnesses = 3

// witnesses returns other workers of the worker's zone, or of the local one if that has none, at most maxWitnesses in random order.
func (g *Gateway) witnesses(worker string) []string {
	tracked := g.dependencies.Tracker
	others := lo.Without(tracked.Usable(tracked.Zone(worker)), worker)
	if len(others) == 0 {
		others = lo.Without(tracked.Usable(g.dependencies.Settings.Zone()), worker)
	}
	return lo.Samples(others, maxWitnesses)
}

// replayResponse sends the response recorded for a claimed key, or returns the
// claim's error when none is recorded.
func (g *Gateway) replayResponse(c fiber.Ctx, request *callerRequest, err error) (bool, error) {
	taken := claimer.AsTaken(err)
	if taken == nil || taken.Response() == nil || taken.ContentDiffers() {
		return false, err
	}
	recorded := taken.Response()
	c.Set(HeaderReplayed, "true")
	c.Set(fiber.HeaderContentType, recorded.ContentType)
	return false, c.Status(recorded.Status).Send(recorded.Body)
}
