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

	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/isolator"
	"github.com/acaciaproxy/acaciaproxy/router"
	"github.com/acaciaproxy/acaciaproxy/serviceclient"
)

// hopByHop are the headers that concern one connection and are not passed on.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// serveService passes a request on to a plain service.
func (g *Gateway) serveService(c fiber.Ctx, request *call) error {
	if err := g.claimKey(c, request, c.Request().Body()); err != nil {
		_, err = g.replayed(c, request, err)
		return err
	}
	outgoing, incoming := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(outgoing)
	defer fasthttp.ReleaseResponse(incoming)
	prepare(c, request, outgoing)
	if err := g.sendService(request, outgoing, incoming); err != nil {
		g.endClaim(request, err)
		return err
	}
	g.recordAnswer(request, claimer.Answer{
		Status: incoming.StatusCode(), ContentType: string(incoming.Header.ContentType()), Body: append([]byte(nil), incoming.Body()...),
	})
	passOn(c, incoming)
	return nil
}

// prepare copies the caller's request for the service.
func prepare(c fiber.Ctx, request *call, outgoing *fasthttp.Request) {
	c.Request().CopyTo(outgoing)
	for _, header := range hopByHop {
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

// passOn copies the service's answer for the caller.
func passOn(c fiber.Ctx, incoming *fasthttp.Response) {
	for key, value := range incoming.Header.All() {
		name := string(key)
		if lo.Contains(hopByHop, name) || name == fiber.HeaderContentLength || name == HeaderRequestID {
			continue
		}
		c.Response().Header.AddBytesKV(key, value)
	}
	c.Response().Header.SetContentTypeBytes(incoming.Header.ContentType())
	c.Status(incoming.StatusCode())
	c.Response().SetBody(incoming.Body())
}

// sendService sends the request to endpoints until one answers or none may.
func (g *Gateway) sendService(request *call, outgoing *fasthttp.Request, incoming *fasthttp.Response) error {
	g.budget.earn()
	excluded := map[string]bool{}
	once := !request.route.Idempotent() || request.claim != nil
	for retries := 0; ; retries++ {
		worker, err := g.chooseEndpoint(request, excluded)
		if err != nil {
			return err
		}
		err = g.sendEndpoint(request, worker, once, outgoing, incoming)
		if err == nil {
			return nil
		}
		excluded[worker] = true
		log.Info().Str("request", request.id).Str("worker", worker).Err(err).Msg("service attempt failed")
		var notRun *serviceclient.NotRunError
		if errors.As(err, &notRun) {
			continue
		}
		request.mayHaveRun = true
		if once || retries >= request.route.Retries() || !time.Now().Before(request.deadline) || !g.budget.spend() {
			return newUnknown("broken", "the service's answer did not arrive whole: "+err.Error())
		}
	}
}

func (g *Gateway) sendEndpoint(request *call, worker string, once bool, outgoing *fasthttp.Request, incoming *fasthttp.Response) error {
	address, _ := g.parts.Tracker.Begin(worker)
	outgoing.SetHost(address)
	client := g.service(address)
	var err error
	if once {
		service, _ := request.pinned.Configuration().Service(request.route.Service())
		err = client.SendOnce(outgoing, incoming, service.Probe(), request.deadline)
	} else {
		err = client.SendIdempotent(outgoing, incoming, request.deadline)
	}
	g.parts.Tracker.End(time.Now(), worker, err != nil)
	return err
}

// GroupsOf returns the names of the worker groups that run a service.
func GroupsOf(configuration *configurer.Configuration, service string) map[string]bool {
	groups := map[string]bool{}
	for _, group := range configuration.Workers() {
		if group.Service() == service {
			groups[group.Name()] = true
		}
	}
	return groups
}

// chooseEndpoint returns an endpoint of the route's service that is not excluded.
func (g *Gateway) chooseEndpoint(request *call, excluded map[string]bool) (string, error) {
	groups := GroupsOf(request.pinned.Configuration(), request.route.Service())
	now := time.Now()
	candidates := g.parts.Tracker.ServiceCandidates(now, groups, g.parts.Settings.Zone(), excluded)
	chosen := router.Choose(candidates, 0, uint64(g.requests.Load()))
	if chosen >= 0 {
		return candidates[chosen].ID, nil
	}
	if request.mayHaveRun {
		return "", newUnknown("broken", "an earlier attempt may have run, and no other endpoint is left")
	}
	return "", newRefusal(fiber.StatusServiceUnavailable, "no_endpoint", fmt.Sprintf("no endpoint of service %q takes requests now", request.route.Service()), now.Add(busyRetry))
}

// claimKey claims the request's idempotency key if it has one. The error is
// the request's end, or wraps a *claimer.TakenError with a recorded answer.
func (g *Gateway) claimKey(c fiber.Ctx, request *call, content []byte) error {
	key := strings.Clone(c.Get(HeaderKey))
	if key == "" {
		if request.route.KeyRequired() {
			return newRejection(fiber.StatusBadRequest, "no_key", "route "+request.route.Name()+" requires "+HeaderKey)
		}
		return nil
	}
	if request.route.Idempotent() {
		return nil
	}
	if len(key) > maxKeyBytes {
		return newRejection(fiber.StatusBadRequest, "bad_key", fmt.Sprintf("%s may have %d bytes; it has %d", HeaderKey, maxKeyBytes, len(key)))
	}
	identity := claimer.Key{Tenant: request.name, Route: request.route.Name(), Key: key}
	fingerprint := isolator.Fingerprint(request.route.Name(), content)
	claim, err := g.parts.Claimer.Take(identity, request.id, fingerprint, request.arrived.Add(request.route.Keep()), claimDeadline(request))
	if err == nil {
		request.claim = claim
		return nil
	}
	return claimFailure(err, request)
}

const (
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// claimTime bounds the claim of a key.
	claimTime = 3 * time.Second
)

func claimDeadline(request *call) time.Time {
	if limit := time.Now().Add(claimTime); limit.Before(request.deadline) {
		return limit
	}
	return request.deadline
}

// claimFailure turns the failure of a claim into the request's end.
func claimFailure(err error, request *call) error {
	taken := claimer.IsTaken(err)
	if taken == nil {
		return newRefusal(fiber.StatusServiceUnavailable, "claim_unresolved", err.Error(), time.Now().Add(busyRetry))
	}
	if taken.OtherContent() {
		return newRejection(fiber.StatusConflict, "key_reused", taken.Error())
	}
	if taken.Answer() != nil {
		return err
	}
	failure := &FailureError{status: fiber.StatusConflict, code: "key_taken", message: taken.Error(), outcome: OutcomeUnknown}
	if taken.Running() {
		failure.retryAt = time.Now().Add(busyRetry)
	}
	return failure
}

// recordAnswer records the answer of a claimed request before it is sent.
func (g *Gateway) recordAnswer(request *call, answer claimer.Answer) {
	if request.claim != nil {
		request.claim.Done(answer, claimDeadline(request))
	}
}

// endClaim releases the key of a request that did not run, or records that its end is unknown.
func (g *Gateway) endClaim(request *call, err error) {
	if request.claim == nil {
		return
	}
	if asFailure(err).outcome == OutcomeRefused && !request.mayHaveRun {
		request.claim.Release(claimDeadline(request))
		return
	}
	request.claim.Unknown(claimDeadline(request))
}
