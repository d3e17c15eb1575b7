package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/isolator"
	"github.com/acaciaproxy/acaciaproxy/quarantiner"
	"github.com/acaciaproxy/acaciaproxy/router"
)

// completionBody is an OpenAI-style request body. Fields that the gateway does
// not know are passed on as they came.
type completionBody struct {
	Model  string
	Stream bool
	// fields are all fields of the body.
	fields map[string]json.RawMessage
}

func (b *completionBody) parse(text []byte) error {
	if err := json.Unmarshal(text, &b.fields); err != nil {
		return newRejection(fiber.StatusBadRequest, "bad_body", "body must be a JSON object: "+err.Error())
	}
	if err := json.Unmarshal(b.fields["model"], &b.Model); err != nil || b.Model == "" {
		return newRejection(fiber.StatusBadRequest, "bad_body", "\"model\" must be the name of a route")
	}
	if stream, present := b.fields["stream"]; present {
		if err := json.Unmarshal(stream, &b.Stream); err != nil {
			return newRejection(fiber.StatusBadRequest, "bad_body", "\"stream\" must be true or false")
		}
	}
	return nil
}

// prompt returns the part of the body that decides the answer.
func (b *completionBody) prompt() []byte {
	return bytes.Join([][]byte{b.fields["messages"], b.fields["prompt"]}, nil)
}

// encode returns the body as an engine gets it.
func (b *completionBody) encode(unit string, resumeFrom int) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(b.fields)+1)
	for key, value := range b.fields {
		fields[key] = value
	}
	name, err := json.Marshal(unit)
	if err != nil {
		return nil, fmt.Errorf("encode unit %q: %w", unit, err)
	}
	fields["model"] = name
	if resumeFrom > 0 {
		fields["resume_from"] = json.RawMessage(fmt.Sprint(resumeFrom))
	}
	return json.Marshal(fields)
}

// attempt is the state of a model request over its attempts.
type attempt struct {
	request *call
	body    *completionBody
	path    string
	unit    string
	// fingerprint identifies the content for the isolation of crashing requests.
	fingerprint string
	// assigned is the only worker where a suspect may run, or empty.
	assigned string
	suspect  bool
	// excluded are the workers that did not serve this request.
	excluded map[string]bool
	// retries counts the attempts after one that may have run.
	retries int
	// declined counts the attempts that an engine surely did not run.
	declined int
	worker   string
	// incarnation is the worker's before the attempt.
	incarnation int64
	prefix      uint64
}

// Limits of one request's attempts.
const (
	maxDeclined   = 8
	declinedPause = 20 * time.Millisecond
)

// serveModel serves a model request by its route, or by the fallback when the
// route refuses.
func (g *Gateway) serveModel(c fiber.Ctx, request *call, body completionBody, finish func()) (streaming bool, err error) {
	if err := g.claimKey(c, request, body.prompt()); err != nil {
		return g.replayed(c, request, err)
	}
	path := strings.Clone(c.Path())
	for {
		streaming, err = g.serveUnit(c, request, &body, path, finish)
		fallback, found := request.pinned.Configuration().Route(request.route.Fallback())
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

// UnitOf returns the unit that serves a route.
func UnitOf(configuration *configurer.Configuration, route configurer.Route) (string, bool) {
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

func (g *Gateway) serveUnit(c fiber.Ctx, request *call, body *completionBody, path string, finish func()) (bool, error) {
	unit, found := UnitOf(request.pinned.Configuration(), request.route)
	if !found {
		return false, newRejection(fiber.StatusNotFound, "no_route", fmt.Sprintf("route %q names no model", request.route.Name()))
	}
	prompt := body.prompt()
	a := &attempt{
		request: request, body: body, path: path, unit: unit,
		fingerprint: isolator.Fingerprint(unit, prompt), excluded: map[string]bool{}, prefix: router.Prefix(unit, prompt),
	}
	if err := g.checkQuarantine(a); err != nil {
		return false, err
	}
	answer, err := g.send(a)
	if err != nil {
		return false, err
	}
	if body.Stream {
		g.relayStream(c, a, answer, finish)
		return true, nil
	}
	return false, g.relayWhole(c, a, answer)
}

// checkQuarantine refuses a request that crashes endpoints.
func (g *Gateway) checkQuarantine(a *attempt) error {
	return g.obeyVerdict(a, g.parts.Isolator.Check(a.fingerprint))
}

// obeyVerdict takes in what holds for a request and returns its end when it is quarantined.
func (g *Gateway) obeyVerdict(a *attempt, verdict quarantiner.Verdict) error {
	a.suspect, a.assigned = verdict.Suspected, verdict.Worker
	if verdict.QuarantinedUntil.IsZero() {
		return nil
	}
	failure := &FailureError{
		status: fiber.StatusServiceUnavailable, code: "quarantined", outcome: OutcomeRefused, retryAt: verdict.QuarantinedUntil,
		message: "this request crashed the endpoints that ran it",
	}
	if a.request.mayHaveRun {
		failure.outcome = OutcomeUnknown
	}
	return failure
}

// send returns the answer of the first worker that takes the request.
func (g *Gateway) send(a *attempt) (*engineclient.Answer, error) {
	g.budget.earn()
	for {
		if err := g.chooseWorker(a); err != nil {
			return nil, err
		}
		answer, err := g.sendOnce(a, 0)
		if err == nil {
			return answer, nil
		}
		if err := g.afterFailure(a, err); err != nil {
			return nil, err
		}
	}
}

// sendOnce sends the request to the chosen worker.
func (g *Gateway) sendOnce(a *attempt, resumeFrom int) (*engineclient.Answer, error) {
	body, err := a.body.encode(a.unit, resumeFrom)
	if err != nil {
		return nil, err
	}
	address, incarnation := g.parts.Tracker.Begin(a.worker)
	a.incarnation = incarnation
	answer, err := g.engine(address).Complete(engineclient.Call{
		ID: a.request.id, Path: a.path, Body: body, Deadline: a.request.deadline, Priority: a.request.class,
		Once: !a.request.route.Idempotent() || a.request.claim != nil,
	})
	if err != nil {
		g.parts.Tracker.End(time.Now(), a.worker, isWorkersFault(err))
		g.parts.Queuer.Release(time.Now(), a.unit)
	}
	return answer, err
}

func isWorkersFault(err error) bool {
	var notRun *engineclient.NotRunError
	return !errors.As(err, &notRun) || !notRun.Answered()
}

// end records that the chosen worker is done with the request.
func (g *Gateway) end(a *attempt, failed bool) {
	now := time.Now()
	g.parts.Tracker.End(now, a.worker, failed)
	g.parts.Queuer.Release(now, a.unit)
	if a.suspect && !failed {
		g.parts.Isolator.Clear(a.fingerprint)
	}
}

// afterFailure returns nil when the request may be tried again, else its end.
func (g *Gateway) afterFailure(a *attempt, err error) error {
	now := time.Now()
	var notRun *engineclient.NotRunError
	if errors.As(err, &notRun) {
		return g.afterDeclined(a, notRun)
	}
	a.request.mayHaveRun = true
	g.engine(g.parts.Tracker.Address(a.worker)).ForgetIdle()
	log.Info().Str("request", a.request.id).Str("worker", a.worker).Str("unit", a.unit).Err(err).Msg("attempt broke")
	a.excluded[a.worker] = true
	if failure := g.isolate(a, err); failure != nil {
		return failure
	}
	route := a.request.route
	if !route.Idempotent() || a.request.claim != nil {
		return newUnknown("broken", "the answer of the endpoint did not arrive whole: "+err.Error())
	}
	a.retries++
	if a.retries > route.Retries() && !a.suspect || !now.Before(a.request.deadline) || !g.budget.spend() {
		return newUnknown("broken", "the endpoints' answers did not arrive whole: "+err.Error())
	}
	g.parts.Recorder.Count("retries")
	return nil
}

// afterDeclined handles an attempt that surely did not run.
func (g *Gateway) afterDeclined(a *attempt, notRun *engineclient.NotRunError) error {
	a.declined++
	switch notRun.Reason() {
	case "not loaded":
		g.parts.Tracker.SetAbsent(a.worker, a.unit)
	case "leaving":
		g.parts.Tracker.SetLeaving(a.worker)
	default:
		a.excluded[a.worker] = true
	}
	if a.declined < maxDeclined {
		time.Sleep(declinedPause)
		return nil
	}
	if a.request.mayHaveRun {
		return newUnknown("broken", "an earlier attempt may have run, and no endpoint takes another: "+notRun.Error())
	}
	return newRefusal(fiber.StatusServiceUnavailable, "declined", "no endpoint took the request: "+notRun.Error(), time.Now().Add(busyRetry))
}

// isolate reports a crash and returns the end of a request that is quarantined by it.
func (g *Gateway) isolate(a *attempt, err error) error {
	var broken *engineclient.BrokenError
	if !errors.As(err, &broken) || !broken.Crashed() || !g.hasCrashed(a) {
		return nil
	}
	return g.obeyVerdict(a, g.parts.Isolator.Crashed(a.worker, a.incarnation, a.fingerprint))
}

// crashProbeTime bounds the look at a worker whose connection broke.
const crashProbeTime = 500 * time.Millisecond

// hasCrashed reports whether the worker is gone or restarted since the attempt began.
func (g *Gateway) hasCrashed(a *attempt) bool {
	report, err := g.engine(g.parts.Tracker.Address(a.worker)).Report(time.Now().Add(crashProbeTime))
	return err != nil || a.incarnation != 0 && report.Incarnation != a.incarnation
}

// replayed answers a request whose key is taken, or returns its end.
func (g *Gateway) replayed(c fiber.Ctx, request *call, err error) (bool, error) {
	taken := claimer.IsTaken(err)
	if taken == nil || taken.Answer() == nil || taken.OtherContent() {
		return false, err
	}
	answer := taken.Answer()
	c.Set(HeaderReplayed, "true")
	c.Set(fiber.HeaderContentType, answer.ContentType)
	return false, c.Status(answer.Status).Send(answer.Body)
}
