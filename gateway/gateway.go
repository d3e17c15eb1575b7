// Package gateway answers callers: it admits a request, chooses a worker,
// waits for a cold unit, relays the answer and says truthfully how it ended.
package gateway

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/asker"
	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/follower"
	"github.com/acaciaproxy/acaciaproxy/isolator"
	"github.com/acaciaproxy/acaciaproxy/queuer"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/serviceclient"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// Headers of the callers' interface.
const (
	HeaderRequestID     = "X-Request-Id"
	HeaderOutcome       = "Acacia-Outcome"
	HeaderConfigVersion = "Acacia-Config-Version"
	HeaderTimeout       = "Acacia-Timeout-Ms"
	HeaderClass         = "Acacia-Class"
	HeaderTenant        = "Acacia-Tenant"
	HeaderReplayed      = "Acacia-Replayed"
	HeaderKey           = "Idempotency-Key"
)

// Outcomes of a request.
const (
	// OutcomeAnswered means that the whole answer follows.
	OutcomeAnswered = "answered"
	// OutcomeStreaming means that the answer follows as events; it is whole only if it ends with [DONE].
	OutcomeStreaming = "streaming"
	// OutcomeRefused means that the request did not run.
	OutcomeRefused = "refused"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown = "unknown"
)

// Parts are what a gateway needs from the rest of the node.
type Parts struct {
	Settings  *settingsreader.Settings
	Follower  *follower.Follower
	Tracker   *tracker.Tracker
	Asker     *asker.Asker
	Queuer    *queuer.Queuer
	Claimer   *claimer.Claimer
	Isolator  *isolator.Isolator
	Recorder  *recorder.Recorder
	Incarnate string
	// Used is told that a request named a unit, which worker serves it, and whether all its workers were saturated.
	Used func(unit, worker string, saturated bool)
}

// Gateway is safe for use by several goroutines.
type Gateway struct {
	parts Parts
	app   *fiber.App
	// requests numbers the requests of this process.
	requests atomic.Int64
	inFlight atomic.Int64
	stopping atomic.Bool
	// budget limits the retries to a share of the requests.
	budget retryBudget
	// mu guards engines, services and tenants.
	mu       sync.Mutex
	engines  map[string]*engineclient.Client
	services map[string]*serviceclient.Client
	// tenants counts the requests in flight of each tenant.
	tenants map[string]int
}

// New returns a gateway that does not listen yet.
func New(parts Parts) *Gateway {
	g := &Gateway{
		parts:    parts,
		engines:  map[string]*engineclient.Client{},
		services: map[string]*serviceclient.Client{},
		tenants:  map[string]int{},
	}
	g.app = fiber.New(fiber.Config{
		AppName:                 "acaciaproxy",
		BodyLimit:               parts.Settings.BodyLimit(),
		ReadBufferSize:          parts.Settings.HeaderLimit(),
		Concurrency:             parts.Settings.Connections(),
		ReadTimeout:             parts.Settings.ReadLimit(),
		IdleTimeout:             idleLimit,
		ErrorHandler:            g.handleError,
		DisableDefaultDate:      true,
		RequestMethods:          fiber.DefaultMethods,
		UnescapePath:            false,
		DisableHeadAutoRegister: true,
	})
	g.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	g.app.Get("/readyz", g.ready)
	g.app.Get("/v1/models", g.listModels)
	g.app.Post("/v1/chat/completions", g.handle)
	g.app.Post("/v1/completions", g.handle)
	g.app.Use(g.handle)
	return g
}

// idleLimit is how long a caller's connection may stay open without a request.
const idleLimit = 75 * time.Second

// Serve answers callers until Stop is called.
func (g *Gateway) Serve(listener net.Listener) error {
	return g.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// drainPoll is how often a planned stop looks whether requests are still in flight.
const drainPoll = 20 * time.Millisecond

// Drain makes the node unready, waits for the balancer to notice, and returns
// once no request is in flight or the deadline is over.
func (g *Gateway) Drain(balancerNotices, deadline time.Time) {
	g.stopping.Store(true)
	time.Sleep(time.Until(balancerNotices))
	for g.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
}

// Stop closes the listener and the connections.
func (g *Gateway) Stop() error { return g.app.ShutdownWithTimeout(stopTime) }

// stopTime bounds the closing of idle connections.
const stopTime = 2 * time.Second

// InFlight returns how many requests have not ended.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

func (g *Gateway) ready(c fiber.Ctx) error {
	if g.stopping.Load() || g.parts.Follower.Current().Version() == 0 {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready")
	}
	return c.SendString("ok")
}

func (g *Gateway) listModels(c fiber.Ctx) error {
	configuration := g.parts.Follower.Current().Configuration()
	models := []map[string]string{}
	if configuration != nil {
		for _, route := range configuration.Routes() {
			if route.Service() == "" {
				models = append(models, map[string]string{"id": route.Name(), "object": "model", "owned_by": "acaciaproxy"})
			}
		}
	}
	return c.JSON(map[string]any{"object": "list", "data": models})
}

// call is one caller's request while it is in progress.
type call struct {
	id       string
	pinned   *follower.Pinned
	route    configurer.Route
	tenant   configurer.Tenant
	name     string // Tenant name as sent, which need not be configured.
	class    string
	arrived  time.Time
	deadline time.Time
	// claim is held while a request with an idempotency key runs.
	claim *claimer.Claim
	// mayHaveRun is set from the moment that an attempt may have run.
	mayHaveRun bool
}

func (c *call) weight() float64 {
	if c.tenant == (configurer.Tenant{}) {
		return 1
	}
	return c.tenant.Weight()
}

// handle serves one request from its arrival to its end.
func (g *Gateway) handle(c fiber.Ctx) error {
	now := time.Now()
	g.inFlight.Add(1)
	ended := false
	end := func() {
		if !ended {
			ended = true
			g.inFlight.Add(-1)
		}
	}
	request := &call{id: g.newID(), pinned: g.parts.Follower.Current(), arrived: now}
	c.Set(HeaderRequestID, request.id)
	if g.stopping.Load() {
		c.Response().SetConnectionClose() // Empties the connections before they are closed.
	}
	c.Set(HeaderConfigVersion, strconv.FormatInt(request.pinned.Version(), 10))
	streaming, err := g.serve(c, request, end)
	if streaming {
		return nil
	}
	defer end()
	if err != nil {
		return g.sendFailure(c, request, err)
	}
	c.Set(HeaderOutcome, OutcomeAnswered)
	g.finished(request, OutcomeAnswered)
	return nil
}

func (g *Gateway) newID() string {
	return g.parts.Incarnate + "-" + strconv.FormatInt(g.requests.Add(1), 36)
}

// serve runs the request; streaming is true when the answer goes on after the return.
func (g *Gateway) serve(c fiber.Ctx, request *call, end func()) (streaming bool, err error) {
	if g.inFlight.Load() > int64(g.parts.Settings.Streams()) {
		return false, newRefusal(fiber.StatusServiceUnavailable, "busy", "node has too many requests in flight", request.arrived.Add(busyRetry))
	}
	if request.pinned.Configuration() == nil {
		return false, newRefusal(fiber.StatusServiceUnavailable, "no_configuration", "no configuration is in force", request.arrived.Add(busyRetry))
	}
	var body completionBody
	if isCompletion(c) {
		if err := body.parse(c.Body()); err != nil {
			return false, err
		}
	}
	if err := g.admit(c, request, body.Model); err != nil {
		return false, err
	}
	leave, err := g.enterTenant(request)
	if err != nil {
		return false, err
	}
	finish := func() {
		leave()
		end()
	}
	if request.route.Service() != "" {
		defer leave()
		return false, g.serveService(c, request)
	}
	streaming, err = g.serveModel(c, request, body, finish)
	if !streaming {
		leave()
	}
	return streaming, err
}

// busyRetry is when a caller may come back to a node that is full.
const busyRetry = 1 * time.Second

func isCompletion(c fiber.Ctx) bool {
	return strings.HasPrefix(c.Path(), "/v1/") && strings.HasSuffix(c.Path(), "completions")
}

// admit finds the route and stamps class, tenant and deadline.
func (g *Gateway) admit(c fiber.Ctx, request *call, model string) error {
	configuration := request.pinned.Configuration()
	var found bool
	if isCompletion(c) {
		request.route, found = configuration.Route(model)
		found = found && request.route.Service() == ""
	} else {
		request.route, found = configuration.RouteOfPath(c.Path())
	}
	if !found {
		return newRejection(fiber.StatusNotFound, "no_route", fmt.Sprintf("no route serves %q", lo.Ternary(isCompletion(c), model, c.Path())))
	}
	request.class = lo.CoalesceOrEmpty(strings.Clone(c.Get(HeaderClass)), request.route.Class())
	if !lo.Contains(configurer.Classes(), request.class) {
		return newRejection(fiber.StatusBadRequest, "bad_class", fmt.Sprintf("%s must be one of %s; it is %q", HeaderClass, strings.Join(configurer.Classes(), ", "), request.class))
	}
	request.name = strings.Clone(c.Get(HeaderTenant))
	request.tenant, _ = configuration.Tenant(request.name)
	return request.stampDeadline(c.Get(HeaderTimeout))
}

// maxTimeout bounds the deadline that a caller may ask for.
const maxTimeout = time.Hour

func (c *call) stampDeadline(header string) error {
	timeout := c.route.Timeout()
	if header != "" {
		milliseconds, err := strconv.ParseInt(header, 10, 64)
		if err != nil || milliseconds <= 0 || milliseconds > maxTimeout.Milliseconds() {
			return newRejection(fiber.StatusBadRequest, "bad_timeout", fmt.Sprintf("%s must be a number of milliseconds from 1 to %d; it is %q", HeaderTimeout, maxTimeout.Milliseconds(), header))
		}
		timeout = time.Duration(milliseconds) * time.Millisecond
	}
	c.deadline = c.arrived.Add(timeout)
	return nil
}

// defaultTenantLimit bounds the requests in flight of a tenant that is not configured.
const defaultTenantLimit = 1000

// enterTenant counts the request against its tenant's limit.
func (g *Gateway) enterTenant(request *call) (leave func(), err error) {
	limit, name := defaultTenantLimit, ""
	if request.tenant != (configurer.Tenant{}) {
		limit, name = request.tenant.Limit(), request.tenant.Name()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tenants[name] >= limit {
		return nil, newRefusal(fiber.StatusTooManyRequests, "tenant_limit", fmt.Sprintf("tenant %q has %d requests in flight", name, limit), time.Now().Add(busyRetry))
	}
	g.tenants[name]++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tenants[name]--
	}, nil
}

func (g *Gateway) engine(address string) *engineclient.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	client, known := g.engines[address]
	if !known {
		client = engineclient.New(address)
		g.engines[address] = client
	}
	return client
}

func (g *Gateway) service(address string) *serviceclient.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	client, known := g.services[address]
	if !known {
		client = serviceclient.New(address)
		g.services[address] = client
	}
	return client
}

// finished records the end of a request.
func (g *Gateway) finished(request *call, outcome string) {
	g.parts.Recorder.Count("outcome " + outcome)
	if outcome == OutcomeAnswered {
		g.observe(request, recorder.MeasureWhole, time.Since(request.arrived))
	}
	log.Debug().Str("request", request.id).Str("zone", g.parts.Settings.Zone()).Str("outcome", outcome).
		Dur("took", time.Since(request.arrived)).Msg("request ended")
}

func (g *Gateway) observe(request *call, measure string, durations ...time.Duration) {
	tenant := ""
	if request.tenant != (configurer.Tenant{}) {
		tenant = request.tenant.Name()
	}
	g.parts.Recorder.Observe(measure, tenant, request.class, durations...)
}

// handleError answers what fails before a handler runs, such as an oversized body.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	request := &call{id: g.newID(), pinned: g.parts.Follower.Current(), arrived: time.Now()}
	status := fiber.StatusInternalServerError
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		status = fiberError.Code
	}
	var small *fasthttp.ErrSmallBuffer
	if errors.As(err, &small) {
		status = fiber.StatusRequestHeaderFieldsTooLarge
	}
	return g.sendFailure(c, request, newRejection(status, "bad_request", err.Error()))
}
