package gateway

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/serviceclient"
)

// hopByHopHeaders are the headers that apply to one connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serveService forwards a request to a plain service, whose endpoints run no models.
func (g *Gateway) serveService(c fiber.Ctx, request *callerRequest) error {
	if err := g.claimKey(c, request, c.Request().Body()); err != nil {
		_, err = g.replayResponse(c, request, err)
		return err
	}
	outgoing, incoming := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(incoming)
	buildServiceRequest(c, request, outgoing)
	held := &heldBody{holding: g.space.Hold()}
	if err := g.sendToService(request, outgoing, incoming, held); err != nil {
		held.holding.Release()
		g.endClaim(request, err)
		return err
	}
	g.recordResponse(request, claimer.Response{Status: incoming.StatusCode(), ContentType: string(incoming.Header.ContentType()), Body: held.body})
	copyHeaders(c, incoming)
	held.send(c, incoming.StatusCode())
	return nil
}

// buildServiceRequest copies the caller's request to outgoing, without hop-by-hop
// headers and without the route's path prefix.
func buildServiceRequest(c fiber.Ctx, request *callerRequest, outgoing *fasthttp.Request) {
	c.Request().CopyTo(outgoing)
	for _, header := range hopByHopHeaders {
		outgoing.Header.Del(header)
	}
	outgoing.Header.Set(HeaderRequestID, request.id)
	path := strings.TrimPrefix(string(c.Request().URI().PathOriginal()), strings.TrimSuffix(request.route.Path(), "/"))
	query := c.Request().URI().QueryString()
	uri := lo.CoalesceOrEmpty(path, "/")
	if len(query) > 0 {
		uri += "?" + string(query)
	}
	outgoing.SetRequestURI(uri)
}

// copyHeaders copies the headers of the service's response to the caller's, without hop-by-hop headers.
func copyHeaders(c fiber.Ctx, incoming *fasthttp.Response) {
	for key, value := range incoming.Header.All() {
		name := string(key)
		if lo.Contains(hopByHopHeaders, name) || name == fiber.HeaderContentLength || name == HeaderRequestID {
			continue
		}
		c.Response().Header.AddBytesKV(key, value)
	}
	c.Response().Header.SetContentTypeBytes(incoming.Header.ContentType())
}

// sendToService sends the request to one endpoint after another until one responds
// or no further attempt is allowed, and reads the body of the response.
func (g *Gateway) sendToService(request *callerRequest, outgoing *fasthttp.Request, incoming *fasthttp.Response, held *heldBody) error {
	g.budget.deposit()
	excluded := map[string]bool{}
	atMostOnce := !request.route.Idempotent() || request.claim != nil
	for retries := 0; ; retries++ {
		endpoint, err := g.chooseEndpoint(request, excluded)
		if err != nil {
			return err
		}
		err = g.sendToEndpoint(request, endpoint, atMostOnce, outgoing, incoming, held)
		if err == nil {
			return nil
		}
		excluded[endpoint] = true
		log.Info().Str("request", request.id).Str("worker", endpoint).Err(err).Msg("service attempt failed")
		var notRun *serviceclient.NotRunError
		if errors.As(err, &notRun) {
			continue
		}
		if atMostOnce || retries >= request.route.Retries() || !time.Now().Before(request.deadline) || !g.budget.withdraw() {
			return newUnknown("broken", "the service's answer did not arrive whole: "+err.Error())
		}
	}
}

// sendToEndpoint sends the request to one endpoint. atMostOnce is set when the
// request must not run twice.
func (g *Gateway) sendToEndpoint(request *callerRequest, endpoint string, atMostOnce bool, outgoing *fasthttp.Request, incoming *fasthttp.Response, held *heldBody) error {
	address, _ := g.dependencies.Tracker.Begin(endpoint)
	outgoing.SetHost(address)
	client := g.serviceClient(address)
	request.ledger.Begin()
	var err error
	if atMostOnce {
		service, _ := request.versioned.Configuration().Service(request.route.Service())
		err = client.SendOnce(outgoing, incoming, service.ProbePath(), request.deadline, held.read)
	} else {
		err = client.SendIdempotent(outgoing, incoming, request.deadline, held.read)
	}
	var notRun *serviceclient.NotRunError
	if errors.As(err, &notRun) {
		request.ledger.Prove(prover.Unsent())
	}
	g.dependencies.Tracker.End(time.Now(), endpoint, err != nil)
	return err
}

// WorkerGroupsOf returns the set of names of the worker groups that run a service.
func WorkerGroupsOf(configuration *configreader.Configuration, service string) map[string]bool {
	groups := map[string]bool{}
	for _, group := range configuration.WorkerGroups() {
		if group.Service() == service {
			groups[group.Name()] = true
		}
	}
	return groups
}

// chooseEndpoint returns an available endpoint of the route's service that is not excluded.
func (g *Gateway) chooseEndpoint(request *callerRequest, excluded map[string]bool) (string, error) {
	groups := WorkerGroupsOf(request.versioned.Configuration(), request.route.Service())
	now := time.Now()
	candidates := g.dependencies.Tracker.ServiceCandidates(now, groups, g.dependencies.Settings.Zone(), excluded)
	chosen := balancer.Choose(candidates, 0, uint64(g.requests.Load()))
	if chosen >= 0 {
		return candidates[chosen].ID, nil
	}
	return "", request.refuse(fiber.StatusServiceUnavailable, "no_endpoint", fmt.Sprintf("no endpoint of service %q takes requests now", request.route.Service()), now.Add(busyRetryDelay))
}

// claimKey claims the request's idempotency key if it has one and its route is not
// idempotent. The error is the request's failure, or wraps a *claimer.TakenError
// with a recorded response.
func (g *Gateway) claimKey(c fiber.Ctx, request *callerRequest, content []byte) error {
	key := strings.Clone(c.Get(HeaderIdempotencyKey))
	if key == "" {
		if request.route.KeyRequired() {
			return newRejection(fiber.StatusBadRequest, "no_key", "route "+request.route.Name()+" requires "+HeaderIdempotencyKey)
		}
		return nil
	}
	if request.route.Idempotent() {
		return nil
	}
	if len(key) > maxKeyBytes {
		return newRejection(fiber.StatusBadRequest, "bad_key", fmt.Sprintf("%s may have %d bytes; it has %d", HeaderIdempotencyKey, maxKeyBytes, len(key)))
	}
	claimedKey := claimer.Key{Tenant: request.tenantName, Route: request.route.Name(), Key: key}
	fingerprint := crashreporter.Fingerprint(request.route.Name(), content)
	claim, err := g.dependencies.Claimer.Acquire(claimedKey, request.id, fingerprint, request.arrived.Add(request.route.KeyRetention()), claimDeadline(request))
	if err == nil {
		request.claim = claim
		return nil
	}
	return claimFailure(err, request)
}

const (
	// maxKeyBytes bounds the length of an idempotency key.
	maxKeyBytes = 255
	// claimTimeout bounds each write of a claim: taking, recording and releasing it.
	claimTimeout = 3 * time.Second
)

// claimDeadline returns the deadline of a write of a claim that starts now: the end
// of claimTimeout, but no later than the request's deadline.
func claimDeadline(request *callerRequest) time.Time {
	if limit := time.Now().Add(claimTimeout); limit.Before(request.deadline) {
		return limit
	}
	return request.deadline
}

// claimFailure converts the error of a claim to the request's failure. It returns an
// error that carries a recorded response unchanged.
func claimFailure(err error, request *callerRequest) error {
	taken := claimer.AsTaken(err)
	if taken == nil {
		return request.refuse(fiber.StatusServiceUnavailable, "claim_unresolved", err.Error(), time.Now().Add(busyRetryDelay))
	}
	if taken.ContentDiffers() {
		return newRejection(fiber.StatusConflict, "key_reused", taken.Error())
	}
	if taken.Response() != nil {
		return err
	}
	failure := &FailureError{status: fiber.StatusConflict, code: "key_taken", message: taken.Error(), outcome: OutcomeUnknown}
	if taken.Running() {
		failure.retryAt = time.Now().Add(busyRetryDelay)
	}
	return failure
}

// recordResponse stores the response of a request with a claimed key, for replays: a
// buffered response before it is sent, a stream once all of its events were relayed.
func (g *Gateway) recordResponse(request *callerRequest, response claimer.Response) {
	if request.claim != nil {
		request.claim.RecordResponse(response, claimDeadline(request))
	}
}

// endClaim releases the key of a request that did not run, or records that its outcome is unknown.
func (g *Gateway) endClaim(request *callerRequest, err error) {
	if request.claim == nil {
		return
	}
	if asFailure(err).withoutFalsePromise(request).outcome == OutcomeRefused {
		request.claim.Release(claimDeadline(request))
		return
	}
	request.claim.RecordUnknown(claimDeadline(request))
}
