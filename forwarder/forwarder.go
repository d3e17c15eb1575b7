// Package forwarder takes a caller's request to a worker and the answer back.
// It holds a request while its model is being loaded, refuses at once what
// cannot be served in time, and says truthfully how every request ended.
//
// It uses net/http instead of fiber and fasthttp, since these tell a handler
// nothing when its caller leaves, and leave bytes that follow an answer
// unnoticed on a connection.
package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/tallier"
	"github.com/acaciaproxy/acaciaproxy/viewer"
)

// Parts are what a forwarder needs from the rest of the node.
type Parts struct {
	Zone     string
	Catalog  func() *cataloger.Catalog
	List     *registrar.Registrar
	View     *viewer.Viewer
	Tally    *tallier.Tallier
	Assessor *assessor.Assessor
	Recorder *recorder.Recorder
	// Ready reports whether configuration and workers are known.
	Ready func() bool
	// Isolated reports whether neither the store nor any leader was heard of lately.
	Isolated func() bool
	// Decode translates a request without its body; the error is a *BadRequestError.
	Decode func(r *http.Request, arrived time.Time) (*Request, error)
	// Send passes a request on; the error is a *NotRunError or a *BrokenError.
	Send func(ctx context.Context, request *Request, send Send) (*Answer, error)
	// Echo sets the headers by which a caller knows its attempt again.
	Echo func(header http.Header, id string)
	// Crashed reports whether a worker's process has ended, by a look at its address.
	Crashed func(worker *registrar.Worker) bool
	// Budget bounds the sends beyond the first of each request.
	Budget Budget
}

// Budget bounds repeated sends.
type Budget struct {
	// Earn counts a request for a service.
	Earn func(now time.Time, service string)
	// Spend reports whether one more send is within the budget, and counts it.
	Spend func(now time.Time, service string) bool
}

// Forwarder is safe for use by several goroutines.
type Forwarder struct {
	parts    Parts
	server   *http.Server
	ready    *http.Server
	inFlight atomic.Int64
	// drainEnd is when a planned stop ends, or nil while none is under way.
	drainEnd atomic.Pointer[time.Time]
	// draining is closed when a planned stop begins.
	draining  chan struct{}
	drainOnce sync.Once
	// suspects counts crashes by request.
	suspects *suspects
}

// Limits of callers' connections. The configuration's idle limit is shorter,
// so callers close first.
const (
	headerTime  = 10 * time.Second
	idleTime    = 120 * time.Second
	headerBytes = 64 << 10
)

// New returns a forwarder that does not listen yet.
func New(parts Parts, readyPath string) *Forwarder {
	f := &Forwarder{parts: parts, draining: make(chan struct{}), suspects: newSuspects()}
	f.server = &http.Server{
		Handler: f, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
		DisableGeneralOptionsHandler: true,
	}
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, f.answerReady)
	f.ready = &http.Server{Handler: mux, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	return f
}

// Serve answers callers until Close is called.
func (f *Forwarder) Serve(listener net.Listener) error { return serveUntilClosed(f.server, listener) }

// ServeReady answers readiness checks until Close is called.
func (f *Forwarder) ServeReady(listener net.Listener) error {
	return serveUntilClosed(f.ready, listener)
}

func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (f *Forwarder) answerReady(w http.ResponseWriter, _ *http.Request) {
	if f.drainEnd.Load() != nil || !f.parts.Ready() || f.parts.Isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// InFlight returns how many requests have not ended.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// drainPoll is how often a planned stop looks whether requests are in flight.
const drainPoll = 20 * time.Millisecond

// Drain makes the node unready and returns once no request is in flight and
// the balancer has noticed, or at the deadline.
func (f *Forwarder) Drain(noticed, deadline time.Time) {
	f.drainEnd.Store(&deadline)
	f.drainOnce.Do(func() { close(f.draining) })
	time.Sleep(time.Until(noticed))
	for f.inFlight.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainPoll)
	}
}

// closeTime is how long requests that arrive at the last moment may take.
const closeTime = 400 * time.Millisecond

// Close closes the listeners and all connections.
func (f *Forwarder) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Int64("in_flight", f.InFlight()).Msg("requests cut at the end of a planned stop")
	}
	_ = f.server.Close() // The process ends; there is nobody to tell.
	_ = f.ready.Close()
}

// call is one request while it is in progress.
type call struct {
	*Request
	catalog *cataloger.Catalog
	route   *cataloger.Route
	service *cataloger.Service
	arrived time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	// runs counts the sends that may have run.
	runs int
	// sends counts all sends.
	sends int
	// avoid maps workers that did not serve this request to until when they are avoided.
	avoid map[string]time.Time
	// fingerprint identifies the content.
	fingerprint string
	// worker is where it was last sent, load what that worker was believed to run then.
	worker string
	load   int
	// ageMS is how old what was believed of it was, in milliseconds.
	ageMS int64
	// expectedAt is when its model should have been ready by the first estimate; zero while there is none.
	expectedAt time.Time
	// lastEvent is the id of the last whole event that was passed on.
	lastEvent string
	// heldMS is how long it waited for its model, firstMS after how long the answer began, both in milliseconds.
	heldMS, firstMS int64
}

// firstBy is when the answer must begin for the caller to wait for it.
func (c *call) firstBy() time.Time {
	if c.route.Kind != cataloger.KindStream {
		return c.deadline
	}
	if patience := c.arrived.Add(c.route.Patience()); patience.Before(c.deadline) {
		return patience
	}
	return c.deadline
}

// key names what the call needs loaded.
func (c *call) key() tallier.Key {
	return tallier.Key{Service: c.service.Name, Model: c.Model, Adapter: c.Adapter}
}

// ServeHTTP answers one request.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.drainEnd.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c, err := f.admit(r, arrived)
	if err != nil {
		f.fail(w, r, c, err)
		return
	}
	f.parts.Recorder.Count("requests " + c.route.Name)
	if c.service.RunsModels() && c.Model != "" {
		err = f.serveModel(w, r, c)
	} else {
		err = f.servePlain(w, r, c)
	}
	if err != nil {
		f.fail(w, r, c, err)
		return
	}
	f.parts.Recorder.Observe(recorder.MeasureWhole, c.service.Name, c.route.Name, time.Since(arrived))
	f.logAnswered(c)
}

// logAnswered logs an answer with what decided where it came from.
func (f *Forwarder) logAnswered(c *call) {
	logger.Info("request answered").Str("request", c.ID).Str("route", c.route.Name).Str("model", c.Model).Str("adapter", c.Adapter).Str("worker", c.worker).
		Int("sends", c.sends).Int("runs", c.runs).Int64("held_ms", c.heldMS).Int64("first_ms", c.firstMS).Int("load", c.load).Int64("age_ms", c.ageMS).
		Int64("after_ms", time.Since(c.arrived).Milliseconds()).Msg("request answered")
}

// admit decodes a request, reads its body and finds its route. The call is
// returned with an error too, as far as it is known.
func (f *Forwarder) admit(r *http.Request, arrived time.Time) (*call, error) {
	c := &call{catalog: f.parts.Catalog(), arrived: arrived, avoid: map[string]time.Time{}}
	var err error
	if c.Request, err = f.parts.Decode(r, arrived); err != nil {
		return c, err
	}
	if c.catalog == nil {
		return c, newRefusal("no_configuration", "no configuration is known yet", startRetry)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, found := c.catalog.Find(r.Host, path)
	if !found {
		return c, newFailure(http.StatusNotFound, "no_route", "no route leads here")
	}
	c.route = route
	c.deadline = arrived.Add(route.Timeout())
	if !c.Deadline.IsZero() && c.Deadline.Before(c.deadline) {
		c.deadline = c.Deadline
	}
	if c.service, found = c.catalog.Service(route.Service(drawOf(c.ID))); !found {
		return c, newRefusal("no_service", "the route's service is not configured", startRetry)
	}
	if c.Body, err = readBody(r, c.catalog.Limits().BodyBytes); err != nil {
		return c, err
	}
	if f.tooLate(c) {
		return c, newRefusal("stopping", "this node stops before the request could be answered", stopRetry)
	}
	return c, f.checkSuspect(c)
}

// Times that a request needs before a planned stop ends.
const (
	streamReserve = 3500 * time.Millisecond
	plainReserve  = 1200 * time.Millisecond
)

// tooLate reports whether a planned stop is likely to end before a request.
func (f *Forwarder) tooLate(c *call) bool {
	end := f.drainEnd.Load()
	if end == nil {
		return false
	}
	reserve := plainReserve
	if c.route.Kind == cataloger.KindStream {
		reserve = streamReserve
	}
	return time.Until(*end) < reserve
}

// defaultBodyBytes bounds bodies where the configuration does not.
const defaultBodyBytes = 8 << 20

// readBody reads a body within the limit.
func readBody(r *http.Request, limit int) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, newFailure(http.StatusBadRequest, "body_broken", "the request's body did not arrive whole: "+err.Error())
	}
	if len(body) > limit {
		return nil, newFailure(http.StatusRequestEntityTooLarge, "body_large", "the request's body is larger than the configuration allows")
	}
	return body, nil
}

// ownHeaders lists answer headers that net/http sets itself.
var ownHeaders = []string{"Content-Length", "Date"}

// copyHeader passes a worker's headers on.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
	for _, name := range ownHeaders {
		to.Del(name)
	}
	to["Date"] = nil // The worker's answer has none of ours.
}

// logEnd logs how a request ended if it was not answered as usual.
func (f *Forwarder) logEnd(c *call, failure *FailureError, left bool) {
	entry := logger.Info("request not answered").Str("request", idOf(c)).Str("code", failure.code).Int("status", failure.status).
		Int64("retry_ms", failure.retryMS).Bool("caller_left", left).Int64("after_ms", time.Since(c.arrived).Milliseconds())
	if c.route != nil {
		entry = entry.Str("route", c.route.Name).Int64("config", c.catalog.Version())
	}
	if c.Request != nil && c.Model != "" {
		entry = entry.Str("model", c.Model).Str("adapter", c.Adapter)
	}
	entry.Int("sends", c.sends).Int("runs", c.runs).Str("why", failure.message).Msg("request not answered")
}

func idOf(c *call) string {
	if c.Request == nil {
		return ""
	}
	return c.ID
}
