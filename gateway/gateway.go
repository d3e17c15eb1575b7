// Package gateway is the HTTP front end for callers: it admits a request, waits
// until a worker has the requested unit loaded and a slot free, relays the
// response and reports the request's outcome.
//
// A unit is what a worker loads: a model version, or an adapter on one. An
// endpoint is an address that serves requests; a worker is an endpoint that runs
// models. A suspect is a request that may have crashed a worker.
package gateway

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/phuslu/log"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/claimer"
	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/loadrequester"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/queuer"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/serviceclient"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// HTTP headers of the callers' interface.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderOutcome        = "Acacia-Outcome"
	HeaderConfigVersion  = "Acacia-Config-Version"
	HeaderTimeout        = "Acacia-Timeout-Ms"
	HeaderClass          = "Acacia-Class"
	HeaderTenant         = "Acacia-Tenant"
	HeaderReplayed       = "Acacia-Replayed"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcomes of a request, sent in HeaderOutcome.
const (
	// OutcomeAnswered means that the response is complete.
	OutcomeAnswered = "answered"
	// OutcomeStreaming means that the response is an event stream, which is complete only if it ends with [DONE].
	OutcomeStreaming = "streaming"
	// OutcomeRefused means that the request did not run on any worker.
	OutcomeRefused = "refused"
	// OutcomeUnknown means that the request may have run, but no complete response was sent.
	OutcomeUnknown = "unknown"
)

// Dependencies are what a gateway needs from the rest of the node.
type Dependencies struct {
	Settings      *settingsreader.Settings
	Follower      *configfollower.Follower
	Tracker       *tracker.Tracker
	LoadRequester *loadrequester.Requester
	Queuer        *queuer.Queuer
	Claimer       *claimer.Claimer
	CrashReporter *crashreporter.Reporter
	Recorder      *recorder.Recorder
	// Incarnation identifies this run of the node; it prefixes every request ID.
	Incarnation string
	// ReportUse is called when a worker is chosen for a request for a unit, or with an
	// empty worker and saturated set when all workers of the unit are saturated.
	ReportUse func(unit, worker string, saturated bool)
}

// Gateway serves callers over HTTP. It is safe for concurrent use.
type Gateway struct {
	dependencies Dependencies
	app          *fiber.App
	// requests is the number of requests received, the source of request IDs.
	requests atomic.Int64
	inFlight atomic.Int64
	// drain is set when draining begins, nil before: the readiness check fails and every
	// response closes its connection.
	drain atomic.Pointer[drain]
	// budget limits retries to a fraction of the requests.
	budget retryBudget
	// space is shared by the responses that are held in memory.
	space bufferer.Space
	// limiter limits the connections of callers and what is held of their requests.
	limiter *connlimiter.Limiter
	// mu guards engines, services and tenants.
	mu sync.Mutex
	// engines and services map addresses to clients.
	engines  map[string]*engineclient.Client
	services map[string]*serviceclient.Client
	// tenants maps tenant names to their requests in flight.
	tenants map[string]int
}

// New returns a gateway with its HTTP routes; Serve starts it.
func New(dependencies Dependencies) *Gateway {
	g := &Gateway{
		dependencies: dependencies,
		engines:      map[string]*engineclient.Client{},
		services:     map[string]*serviceclient.Client{},
		tenants:      map[string]int{},
	}
	g.app = fiber.New(fiber.Config{
		AppName:                 "acaciaproxy",
		BodyLimit:               dependencies.Settings.BodyLimit(),
		ReadBufferSize:          dependencies.Settings.HeaderLimit(),
		Concurrency:             dependencies.Settings.MaxConnections(),
		ReduceMemoryUsage:       true, // Connections that wait for a request keep no buffers, whose space was returned.
		ReadTimeout:             dependencies.Settings.ReadTimeout(),
		IdleTimeout:             idleTimeout,
		ErrorHandler:            g.handleError,
		DisableDefaultDate:      true,
		RequestMethods:          fiber.DefaultMethods,
		UnescapePath:            false,
		DisableHeadAutoRegister: true,
	})
	g.app.Server().ConnState = connlimiter.ObserveFastState
	host := connlimiter.Host{Memory: dependencies.Settings.Memory(), Descriptors: dependencies.Settings.Descriptors()}
	g.limiter = connlimiter.New(host, g.headLimits, dependencies.Recorder.Count)
	g.space.Limit(connlimiter.Spare(host.Memory))
	dependencies.Recorder.AddGauges(g.limiter.Gauges)
	g.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	g.app.Get("/readyz", g.handleReadiness)
	g.app.Get("/v1/models", g.listModels)
	g.app.Post("/v1/chat/completions", g.handle)
	g.app.Post("/v1/completions", g.handle)
	g.app.Use(g.handle)
	return g
}

// idleTimeout is how long a caller's connection may stay open without a request.
const idleTimeout = 75 * time.Second

// Stop closes the listener and the connections. It fails when connections are
// still open after shutdownTimeout.
func (g *Gateway) Stop() error { return g.app.ShutdownWithTimeout(shutdownTimeout) }

// shutdownTimeout bounds the wait for open connections in Stop.
const shutdownTimeout = 2 * time.Second

// InFlight returns the number of requests in flight, open streams included.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

func (g *Gateway) handleReadiness(c fiber.Ctx) error {
	if g.drain.Load() != nil || g.dependencies.Follower.Current().Version() == 0 {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready")
	}
	return c.SendString("ok")
}

func (g *Gateway) listModels(c fiber.Ctx) error {
	configuration := g.dependencies.Follower.Current().Configuration()
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

// callerRequest is the state of one caller's request in flight.
type callerRequest struct {
	id string
	// versioned is the configuration version that applies to the whole request.
	versioned *configfollower.VersionedConfiguration
	route     configreader.Route
	tenant    configreader.Tenant
	// tenantName is the value of HeaderTenant, which may name a tenant that is not configured.
	tenantName string
	class      string
	arrived    time.Time
	deadline   time.Time
	// claim is the claimed idempotency key, or nil when the request has none.
	claim *claimer.Claim
	// ledger is the account of the attempts, each of which is a send.
	ledger prover.Ledger
}

// weight returns the tenant's share in the queue; tenants that are not configured have 1.
func (c *callerRequest) weight() float64 {
	if c.tenant == (configreader.Tenant{}) {
		return 1
	}
	return c.tenant.Weight()
}

// handle serves one request and records its outcome, except that of a stream, which
// streamRelay records.
func (g *Gateway) handle(c fiber.Ctx) error {
	now := time.Now()
	g.inFlight.Add(1)
	ended := false
	endRequest := func() {
		if !ended {
			ended = true
			g.inFlight.Add(-1)
		}
	}
	request := &callerRequest{id: g.newID(), versioned: g.dependencies.Follower.Current(), arrived: now}
	c.Set(HeaderRequestID, request.id)
	if g.drain.Load() != nil {
		c.Response().SetConnectionClose() // Lets callers reconnect to other nodes before Stop.
	}
	c.Set(HeaderConfigVersion, strconv.FormatInt(request.versioned.Version(), 10))
	streaming, err := g.dispatch(c, request, endRequest)
	if streaming {
		return nil
	}
	defer endRequest()
	if err != nil {
		return g.sendFailure(c, request, err)
	}
	c.Set(HeaderOutcome, OutcomeAnswered)
	g.recordOutcome(request, OutcomeAnswered)
	return nil
}

func (g *Gateway) newID() string {
	return g.dependencies.Incarnation + "-" + strconv.FormatInt(g.requests.Add(1), 36)
}

// dispatch admits the request and serves it by its route. When it returns streaming,
// the response is still being sent, and endRequest is called at its end.
func (g *Gateway) dispatch(c fiber.Ctx, request *callerRequest, endRequest func()) (streaming bool, err error) {
	if g.inFlight.Load() > int64(g.dependencies.Settings.MaxInFlight()) {
		return false, request.refuse(fiber.StatusServiceUnavailable, "busy", "node has too many requests in flight", request.arrived.Add(busyRetryDelay))
	}
	if request.versioned.Configuration() == nil {
		return false, request.refuse(fiber.StatusServiceUnavailable, "no_configuration", "no configuration is in force", request.arrived.Add(busyRetryDelay))
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
	if g.drain.Load().mayCutOff(time.Now(), request.deadline) {
		return false, request.refuse(fiber.StatusServiceUnavailable, "stopping", "this node stops before the request could be answered", time.Now().Add(drainRetryDelay))
	}
	releaseTenant, err := g.acquireTenant(request)
	if err != nil {
		return false, err
	}
	release := func() {
		releaseTenant()
		endRequest()
	}
	if request.route.Service() != "" {
		defer releaseTenant()
		return false, g.serveService(c, request)
	}
	streaming, err = g.serveModel(c, request, body, release)
	if !streaming {
		releaseTenant()
	}
	return streaming, err
}

// busyRetryDelay is the retry delay sent to callers when no better estimate is known.
const busyRetryDelay = 1 * time.Second

func isCompletion(c fiber.Ctx) bool {
	return strings.HasPrefix(c.Path(), "/v1/") && strings.HasSuffix(c.Path(), "completions")
}

// admit sets the request's route, class, tenant and deadline, or returns a rejection.
func (g *Gateway) admit(c fiber.Ctx, request *callerRequest, model string) error {
	configuration := request.versioned.Configuration()
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
	if !lo.Contains(configreader.Classes(), request.class) {
		return newRejection(fiber.StatusBadRequest, "bad_class", fmt.Sprintf("%s must be one of %s; it is %q", HeaderClass, strings.Join(configreader.Classes(), ", "), request.class))
	}
	request.tenantName = strings.Clone(c.Get(HeaderTenant))
	request.tenant, _ = configuration.Tenant(request.tenantName)
	return request.setDeadline(c.Get(HeaderTimeout))
}

// maxTimeout is the longest timeout that a caller may set.
const maxTimeout = time.Hour

// setDeadline sets the deadline from the timeout header, or from the route when it is empty.
func (c *callerRequest) setDeadline(header string) error {
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

// defaultTenantLimit bounds the total of requests in flight of all tenants that are not configured.
const defaultTenantLimit = 1000

// acquireTenant counts the request against its tenant's limit until release is
// called. Tenants that are not configured share one limit.
func (g *Gateway) acquireTenant(request *callerRequest) (release func(), err error) {
	limit, name := defaultTenantLimit, ""
	if request.tenant != (configreader.Tenant{}) {
		limit, name = request.tenant.Limit(), request.tenant.Name()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tenants[name] >= limit {
		return nil, request.refuse(fiber.StatusTooManyRequests, "tenant_limit", fmt.Sprintf("tenant %q has %d requests in flight", name, limit), time.Now().Add(busyRetryDelay))
	}
	g.tenants[name]++
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.tenants[name]--
	}, nil
}

func (g *Gateway) engineClient(address string) *engineclient.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	client, found := g.engines[address]
	if !found {
		client = engineclient.New(address)
		g.engines[address] = client
	}
	return client
}

func (g *Gateway) serviceClient(address string) *serviceclient.Client {
	g.mu.Lock()
	defer g.mu.Unlock()
	client, found := g.services[address]
	if !found {
		client = serviceclient.New(address)
		g.services[address] = client
	}
	return client
}

// recordOutcome counts and logs a request that ended, and records its duration if it was answered.
func (g *Gateway) recordOutcome(request *callerRequest, outcome string) {
	g.dependencies.Recorder.Count("outcome " + outcome)
	if outcome == OutcomeAnswered {
		g.observe(request, recorder.MeasureTotal, time.Since(request.arrived))
	}
	log.Debug().Str("request", request.id).Str("zone", g.dependencies.Settings.Zone()).Str("outcome", outcome).
		Dur("took", time.Since(request.arrived)).Msg("request ended")
}

func (g *Gateway) observe(request *callerRequest, measure string, durations ...time.Duration) {
	tenant := ""
	if request.tenant != (configreader.Tenant{}) {
		tenant = request.tenant.Name()
	}
	g.dependencies.Recorder.Observe(measure, tenant, request.class, durations...)
}

// handleError responds to requests that fail before a handler runs, such as one
// with an oversized body.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	request := &callerRequest{id: g.newID(), versioned: g.dependencies.Follower.Current(), arrived: time.Now()}
	status := fiber.StatusInternalServerError
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		status = fiberError.Code
	}
	var headersTooLarge *fasthttp.ErrSmallBuffer
	if errors.As(err, &headersTooLarge) {
		status = fiber.StatusRequestHeaderFieldsTooLarge
	}
	return g.sendFailure(c, request, newRejection(status, "bad_request", err.Error()))
}
