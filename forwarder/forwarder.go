// Package forwarder proxies callers' requests to workers and relays the responses.
// It holds a request while its model is being loaded and immediately refuses one
// that cannot be served in time. It never refuses a request that may have run:
// a refusal (503) guarantees that the request has not run.
//
// It uses net/http instead of fiber and fasthttp, since these do not notify a
// handler when its caller disconnects, and do not detect bytes that follow a
// response on a connection.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/assessor"
	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/connlimiter"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/cutdetector"
	"github.com/acaciaproxy/acaciaproxy/demandcounter"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/hedger"
	"github.com/acaciaproxy/acaciaproxy/limiter"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
	"github.com/acaciaproxy/acaciaproxy/trier"
)

// Dependencies are what a forwarder needs from the rest of the node.
type Dependencies struct {
	// Zone is the local zone.
	Zone string
	// Catalog returns the configuration in force, or nil while none is known.
	Catalog       func() *cataloger.Catalog
	Workers       *registrar.Registrar
	Tracker       *fleettracker.Tracker
	DemandCounter *demandcounter.Counter
	Assessor      *assessor.Assessor
	Limiter       *limiter.Limiter
	Recorder      *recorder.Recorder
	// Ready reports whether the configuration and the list of workers have been read.
	Ready func() bool
	// Isolated reports whether neither the store nor any leader has responded recently.
	Isolated func() bool
	// Decode parses a request's line and headers, not its body; the error is a *BadRequestError.
	Decode func(r *http.Request, arrived time.Time) (*Request, error)
	// Send sends a request to a worker; the error is a *NotRunError or a *BrokenError.
	Send func(ctx context.Context, request *Request, send Send) (*Response, error)
	// SetAttemptID sets the response header that identifies the caller's attempt.
	SetAttemptID func(header http.Header, id string)
	// Crashes holds the crashes of workers at which requests were running, CrashesKnown reports whether those of the time before this process
	// started have been read.
	Crashes      *crashkeeper.Keeper
	CrashesKnown func() bool
	// StoreAvailable reports whether the store has responded lately, to this node or to a leader.
	StoreAvailable func() bool
	// Trier lets requests that may crash workers through one at a time.
	Trier *trier.Trier
	// Crashed reports, by probing a worker's address, whether its process seems to have ended.
	Crashed func(worker *registrar.Worker) bool
	// Carry passes a request to another node, which serves it until the deadline, and at most once if once is set. Each node that refuses it is reported to refused, which says whether the next
	// one may be asked; untried is set if the request has reached no worker there. The error is a *NotRunError if no node has taken it, else it may have run at the Node of the result, whose
	// other fields are unset then.
	Carry func(ctx context.Context, request *Request, once bool, deadline time.Time, refused func(node string, untried bool) (askNext bool)) (*Carried, error)
	// Streams holds the software versions at which streams began. FindStream asks the leaders; FindArchived looks in the store, and read is set if that could
	// be read. ConfirmList reports whether the list of workers is known to have been up to date at some time after since.
	Streams      *streamkeeper.Keeper
	FindStream   func(deadline time.Time, service string, attempt uint64) streamkeeper.Inquiry
	FindArchived func(attempt uint64) (origin streamkeeper.Origin, known, read bool)
	ConfirmList  func(deadline, since time.Time) bool
	// Budget limits the sends beyond the first of each request.
	Budget Budget
	// Room is set if requests for models wait at this node while all workers that have the model are full.
	Room bool
	// Keys checks callers' keys; it is used only while the configuration has tenants.
	Keys Keys
	// RepeatFailed is set if a request that may be repeated is sent to another worker after a response with status 500 of a service without models.
	RepeatFailed bool
	// Allowances are the rate limits of tenants.
	Allowances Allowances
	// Hedger decides on hedged sends; nil for none.
	Hedger *hedger.Hedger
	// Host is what the host has, by which the connections and bytes of callers are limited.
	Host connlimiter.Host
}

// Forwarder is the callers' HTTP server. It is safe for concurrent use.
type Forwarder struct {
	dependencies Dependencies
	server       *http.Server
	// readyServer serves readiness checks.
	readyServer *http.Server
	inFlight    atomic.Int64
	// drain is the drain in progress, or nil. Draining is closed when it begins.
	drain     atomic.Pointer[drain]
	draining  chan struct{}
	drainOnce sync.Once
	// life ends with the drain, and the calls that are in flight then with it.
	life    context.Context
	endLife context.CancelFunc
	// broken holds the sends that broke for an unknown reason.
	broken   brokenSends
	clearing clearingCalls
	// reach is the node's path to the workers; carried counts the requests that it serves for other nodes.
	reach   *cutdetector.Detector
	carried atomic.Int64
	// space is shared by the responses that are held in memory. Room holds the requests that wait while workers are full; nil without.
	space bufferer.Space
	room  *room
	// limiter limits the connections of callers and what is held of their requests.
	limiter *connlimiter.Limiter
}

// maxHeaderBytes is more than any limit of heads; the limiter, which counts them, sets the limit in force and the timeouts.
const maxHeaderBytes = 16 << 20

// New returns a forwarder that does not listen yet; readyPath is the path of readiness checks.
func New(dependencies Dependencies, readyPath string) *Forwarder {
	f := &Forwarder{
		dependencies: dependencies, draining: make(chan struct{}), room: newRoom(dependencies.Room),
		reach: cutdetector.New(dependencies.Zone, dependencies.Recorder.Count),
	}
	f.life, f.endLife = context.WithCancel(context.Background())
	f.limiter = connlimiter.New(dependencies.Host, f.headLimits, dependencies.Recorder.Count)
	f.space.Limit(connlimiter.Spare(dependencies.Host.Memory))
	dependencies.Recorder.AddGauges(f.limiter.Gauges)
	f.server = &http.Server{
		Handler: f, MaxHeaderBytes: maxHeaderBytes, ConnState: connlimiter.ObserveState, DisableGeneralOptionsHandler: true,
	}
	readyMux := http.NewServeMux()
	readyMux.HandleFunc(readyPath, f.handleReady)
	f.readyServer = &http.Server{Handler: readyMux, MaxHeaderBytes: maxHeaderBytes, ConnState: connlimiter.ObserveState}
	return f
}

// headLimits returns the limits of heads by the configuration in force.
func (f *Forwarder) headLimits() connlimiter.HeadLimits {
	catalog := f.dependencies.Catalog()
	if catalog == nil {
		return connlimiter.HeadLimits{}
	}
	limits := catalog.Limits()
	return connlimiter.HeadLimits{Bytes: limits.HeaderBytes, HeadMS: limits.HeaderTimeoutMS, IdleMS: limits.IdleTimeoutMS}
}

// Limiter returns the limiter of the connections of callers, by which those of others are limited too.
func (f *Forwarder) Limiter() *connlimiter.Limiter { return f.limiter }

// Serve serves callers' requests until Close is called.
func (f *Forwarder) Serve(listener net.Listener) error {
	return serveUntilClosed(f.server, f.limiter.Listen(listener, connlimiter.Port{Name: "callers", Connections: f.limiter.MaxCallers(), HTTP: true, HandlersHold: true}))
}

// ServeReady serves readiness checks until Close is called.
func (f *Forwarder) ServeReady(listener net.Listener) error {
	return serveUntilClosed(f.readyServer, f.limiter.Listen(listener, connlimiter.Port{Name: "ready", Connections: f.limiter.MaxOthers(), HTTP: true}))
}

func serveUntilClosed(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (f *Forwarder) handleReady(w http.ResponseWriter, _ *http.Request) {
	if f.drain.Load() != nil || !f.dependencies.Ready() || f.dependencies.Isolated() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// InFlight returns the number of requests that have not ended.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// closeTimeout bounds the wait for requests that are still in flight when Close is called.
const closeTimeout = 400 * time.Millisecond

// Close closes the listeners and all connections.
func (f *Forwarder) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := f.server.Shutdown(ctx); err != nil {
		log.Warn().Err(err).Int64("in_flight", f.InFlight()).Msg("requests in flight cut off at the end of the drain")
	}
	_ = f.server.Close() // The process is ending, so errors have no effect.
	_ = f.readyServer.Close()
}

// call is one request in flight.
type call struct {
	*Request
	// held is the space that the body takes until the call has ended; nil until it is read.
	held    *connlimiter.Holding
	catalog *cataloger.Catalog
	route   *cataloger.Route
	service *cataloger.Service
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout.
	deadline time.Time
	// ledger is the account of the sends, also of those by a node that the call was passed to.
	ledger prover.Ledger
	// sends counts the sends of this node to workers, including those that certainly did not run; tries are the last of them.
	sends int
	tries tries
	// reached is set once a send may have reached a worker, also one of another node that the call was passed to. From then on, retryAllowed is
	// set before each send, by the retry budget, and unset when that send has reached a worker.
	reached, retryAllowed bool
	// charges are the tokens of the tenant's allowance that the call holds: one for each send that may run, besides that of a node that passed it on.
	charges []*quotakeeper.Ticket
	// avoidUntil maps workers that failed to serve this request to when they may be chosen again.
	avoidUntil map[string]time.Time
	// fingerprint is a hash of method, host, target and body. SharedParts are the IDs of the prompt's parts but the last. Fingerprints are the first
	// and those of the parts.
	fingerprint  string
	sharedParts  []string
	fingerprints []string
	// crashVerdict is the result of the last check of the fingerprints.
	crashVerdict crashkeeper.Verdict
	// trial is the trial under which the call is sent; nil if it needs none. Suspected is set once the call had to wait for one.
	trial     *trier.Trial
	suspected bool
	// candidateFor are the blamed fingerprints for which the call is the candidate of this node. Permission is that of its next send,
	// usedPermission that of its last one; nil without one. PartsAnswered is set once a worker has gone on after the first event, which speaks
	// for the parts.
	candidateFor               []string
	permission, usedPermission *crashkeeper.Trial
	partsAnswered              bool
	// sentAt is when the last send began, events the number of events that it brought, firstEventAt when the first of them arrived.
	sentAt       time.Time
	events       int
	firstEventAt time.Time
	// lastEventAt is when the last event of any send arrived; zero before the first.
	lastEventAt time.Time
	// slot is that of the last send or, before it, the one that it was granted; nil unless the worker is brittle.
	slot *limiter.Slot
	// place is the call's place in the queue of its model, then the place at a worker that it was given; nil without either.
	place *place
	// worker is the ID of the worker of the last send, software the version of its software, workerLoad the number of requests that it was known to run
	// when it was chosen; workerLoad is set for requests for models only.
	worker, software string
	workerLoad       int
	plainState
	// stateAgeMS is the age of the node's information about that worker at the send, in milliseconds.
	stateAgeMS int64
	// expectedReadyAt is when the model should be ready according to the first estimate; zero while there is none.
	expectedReadyAt time.Time
	// limitPerSecond is the limit that the worker of the last send was known to name, 0 for none.
	limitPerSecond float64
	// origin is where the call's stream began, nil before its first event.
	origin *origin
	// lastEventID is the id of the last event that was relayed.
	lastEventID string
	// once is set if another node passed the call on and it must run once by the configuration there.
	once bool
	// isCarried is set if another node passed the call on, carryTried once this node has tried to. Unreachable are the sends that did not reach
	// their workers.
	isCarried, carryTried bool
	unreachable           []loss
	// keyRemoved is set once the caller's key was removed from the headers.
	keyRemoved bool
	// heldMS is the time waited for the model, firstByteMS the time from the last send to the head of its response, in milliseconds.
	heldMS, firstByteMS int64
}

// startDeadline returns when the response must begin: the deadline or, for a stream, the end of the route's event timeout if that is earlier.
func (c *call) startDeadline() time.Time {
	if c.route.Kind != cataloger.KindStream {
		return c.deadline
	}
	if latestStart := c.arrived.Add(c.route.EventTimeout()); latestStart.Before(c.deadline) {
		return latestStart
	}
	return c.deadline
}

// eventDeadline returns when the next event must be sent to the caller: for a stream that goes on at another worker, the end of the route's event timeout
// after the last one, or the deadline if that is earlier; before its first event, the start deadline.
func (c *call) eventDeadline() time.Time {
	if c.lastEventAt.IsZero() {
		return c.startDeadline()
	}
	if latest := c.lastEventAt.Add(c.route.EventTimeout()); latest.Before(c.deadline) {
		return latest
	}
	return c.deadline
}

// modelKey returns the key of the model and adapter that the call needs loaded.
func (c *call) modelKey() demandcounter.Key {
	return demandcounter.Key{Service: c.service.Name, Model: c.Model, Adapter: c.Adapter}
}

// ServeHTTP serves one caller's request to its end.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	c, err := f.admit(w, r, arrived)
	defer f.refundUnrun(c)
	defer f.endClearing(c)
	defer c.held.Release()
	if err != nil {
		f.fail(w, r, c, err)
		return
	}
	limitWrites(w, c.deadline)
	f.dependencies.Recorder.Count("requests " + c.route.Name)
	if c.service.RunsModels() && c.Model != "" {
		err = f.serveModel(w, r, c)
	} else {
		err = f.servePlain(w, r, c)
	}
	if err != nil {
		f.fail(w, r, c, err)
		return
	}
	f.dependencies.Recorder.Observe(recorder.MeasureTotal, c.service.Name, c.route.Name, time.Since(arrived))
	if c.Tenant != "" {
		f.dependencies.Recorder.Observe(recorder.MeasureTenant, c.Tenant, c.route.Name, time.Since(arrived))
	}
	f.logResponse(c)
}

// logResponse logs a request that got a worker's response, with the worker and the load by which it was chosen. Runs are the sends before it that may have run.
func (f *Forwarder) logResponse(c *call) {
	kind := "request answered"
	if c.sends > 1 || c.carryTried {
		kind = "request answered after failures" // A crowd of others does not displace it.
	}
	entry := logger.Info(kind).Str("request", c.ID).Str("route", c.route.Name).Str("model", c.Model).Str("adapter", c.Adapter).Str("worker", c.worker).Str("software", c.software).Str("resumes", c.Resumes).Str("resumes_after", c.LastEventID).Strs("parts", c.sharedParts).
		Bool("passed_on", c.carryTried).Bool("for_other", c.isCarried).Str("from_node", c.tries.from).Int("sends", c.sends).Strs("tries", c.tries.list()).Int("runs", c.ledger.MayHaveRun()-1).Float64("limit", c.limitPerSecond).Int64("held_ms", c.heldMS).Int64("first_ms", c.firstByteMS).Int("load", c.workerLoad).Float64("pace", c.pace).Str("hedge", c.hedge).Int64("age_ms", c.stateAgeMS).
		Int64("after_ms", time.Since(c.arrived).Milliseconds())
	if c.Tenant != "" {
		entry = entry.Str("tenant", c.Tenant)
	}
	entry.Msg("request answered")
}

// admit decodes a request, reads its body and finds its route. When it fails, the
// call that it returns has only the fields set that were reached before the error.
func (f *Forwarder) admit(w http.ResponseWriter, r *http.Request, arrived time.Time) (*call, error) {
	c := &call{catalog: f.dependencies.Catalog(), arrived: arrived, avoidUntil: map[string]time.Time{}, isCarried: carried(r).outcome != nil, once: carried(r).once, tries: tries{from: clip(carried(r).from)}}
	var err error
	if c.Request, err = f.dependencies.Decode(r, arrived); err != nil {
		return c, err
	}
	if err = f.findRoute(c, ""); err != nil {
		return c, err
	}
	if err = f.admitKey(r, c); err != nil {
		return c, err
	}
	if err = c.findService(c.route.Service(hashFraction(c.ID))); err != nil {
		return c, err
	}
	if c.Body, err = f.readBody(w, r, c.catalog.Limits().BodyBytes, c); err != nil {
		return c, err
	}
	if err := f.checkDrain(time.Now(), c); err != nil {
		return c, err
	}
	c.setFingerprints()
	f.dependencies.Crashes.Arrived(c.fingerprints)
	if err := f.checkCrashes(c); err != nil {
		return c, err
	}
	return c, f.charge(r.Context(), c)
}
