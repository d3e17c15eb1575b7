// Package enginestandin simulates a model engine: it loads and unloads units by
// orders that carry a fencing number, returns deterministic completions in the
// OpenAI format, reports its state, and has a switch for each fault that it can
// simulate.
package enginestandin

import (
	"fmt"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/silencer"
)

// Settings configure one engine.
type Settings struct {
	// ID is the engine's name in the host list.
	ID string
	// Platform is the address of the platform with the weight store, or empty for none.
	Platform string
	// Memory is the engine's memory for models, in bytes.
	Memory int64
	// Fencing makes the engine refuse orders whose fencing number is below the highest that it has seen.
	Fencing bool
	// FirstTokenMS is the time to the first token, TokenMS the time between tokens.
	FirstTokenMS, TokenMS int64
	// Slots is how many requests run concurrently; further requests wait.
	Slots int
}

// Faults holds the fault switches; the zero value switches all of them off.
type Faults struct {
	// Freeze makes every call wait until the switch is off, except those to /faults and /record.
	Freeze bool `json:"freeze"`
	// FailLoads makes every load fail after half of its time.
	FailLoads bool `json:"fail_loads"`
	// LoadMS replaces the load time of every order, when above 0.
	LoadMS int64 `json:"load_ms"`
	// LoseOrders is how many of the next accepted orders take effect without a response.
	LoseOrders int64 `json:"lose_orders"`
	// ReportLagMS is the age of the report that is returned.
	ReportLagMS int64 `json:"report_lag_ms"`
	// OmitReports makes the engine omit the reports with an even sequence number.
	OmitReports bool `json:"gap"`
	// Leaving makes the engine refuse requests and loads, and say so in its report.
	Leaving bool `json:"leaving"`
	// SilentResponses makes the engine accept requests and send no response for an hour.
	SilentResponses bool `json:"silent_answers"`
	// CutAfter closes the connection of every stream after that many tokens, when above 0.
	CutAfter int64 `json:"cut_after"`
	// Crossed makes responses carry the id of another request.
	Crossed bool `json:"crossed"`
	// Truncated makes responses that are not streamed shorter than their Content-Length.
	Truncated bool `json:"truncated"`
	// CrashMarker is a text that crashes the engine when a prompt contains it, or empty for none.
	CrashMarker string `json:"crash_marker"`
	// RestartMS is how long, in milliseconds, the engine is down after a crash.
	RestartMS int64 `json:"restart_ms"`
}

// Report is the state that the engine reports.
type Report struct {
	ID string `json:"id"`
	// Incarnation changes when the engine restarts.
	Incarnation int64 `json:"incarnation"`
	// Sequence counts the reports made, including those that only the history holds.
	Sequence int64 `json:"sequence"`
	// Fence is the highest fencing number seen.
	Fence int64 `json:"fence"`
	// MemoryTotal and MemoryUsed are in bytes.
	MemoryTotal int64  `json:"memory_total"`
	MemoryUsed  int64  `json:"memory_used"`
	Units       []Unit `json:"units"`
	// Caches maps each unloaded unit whose checkpoint is still cached to its tier.
	Caches  map[string]string `json:"caches"`
	Running int               `json:"running"`
	Queued  int               `json:"queued"`
	Leaving bool              `json:"leaving"`
	// Orders lists the ids of the most recently accepted orders, oldest first.
	Orders []string `json:"orders"`
}

// timedReport is a report and the time at which it was made.
type timedReport struct {
	at     time.Time
	report Report
}

// Engine is one simulated engine.
type Engine struct {
	settings Settings
	app      *fiber.App
	listener *silencer.Listener
	// mu guards all fields below.
	mu          sync.Mutex
	faults      Faults
	memory      modelMemory
	fence       int64
	incarnation int64
	sequence    int64
	// acceptedOrders holds the ids of at most maxAcceptedOrders orders, oldest first.
	acceptedOrders []string
	running        int
	queued         int
	// downUntil is when a crashed engine is up again.
	downUntil time.Time
	// runs counts the runs of each request id; staleOrders counts the orders below the highest fencing number that were not refused.
	runs        map[string]int
	staleOrders int64
	// inFlight counts the admitted requests of each unit that have not ended.
	inFlight  map[string]int
	loads     map[string]int
	crashes   int64
	cancelled int64
	// reportHistory holds at most maxReports past reports, oldest first.
	reportHistory []timedReport
	// slots is a semaphore that holds one element for each running request.
	slots chan struct{}
}

// New returns an engine with no unit loaded.
func New(settings Settings) *Engine {
	return &Engine{
		settings:    settings,
		memory:      modelMemory{total: settings.Memory, units: map[string]Unit{}},
		incarnation: time.Now().UnixNano(),
		runs:        map[string]int{},
		loads:       map[string]int{},
		inFlight:    map[string]int{},
		slots:       make(chan struct{}, max(settings.Slots, 1)),
	}
}

func (e *Engine) registerRoutes() {
	e.app = fiber.New(fiber.Config{Immutable: true, BodyLimit: 16 << 20})
	e.app.Put("/faults", e.setFaults)
	e.app.Post("/faults/silence", func(c fiber.Ctx) error {
		time.AfterFunc(silenceDelay, func() { e.listener.Silence() })
		return c.SendStatus(fiber.StatusNoContent)
	})
	e.app.Post("/faults/crash", func(c fiber.Ctx) error {
		e.crash()
		return c.SendStatus(fiber.StatusNoContent)
	})
	e.app.Get("/record", e.handleRecord)
	e.app.Use(nameRequest)
	e.app.Use(e.applyFaults)
	e.app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	e.app.Get("/report", e.handleReport)
	e.app.Post("/orders", e.handleOrder)
	e.app.Post("/v1/chat/completions", e.handleCompletion)
	e.app.Post("/v1/completions", e.handleCompletion)
}

// nameRequest puts the ID of a request into its response, whatever that is.
func nameRequest(c fiber.Ctx) error {
	if id := c.Get("X-Request-Id"); id != "" {
		c.Set("X-Request-Id", id)
	}
	return c.Next()
}

// Serve handles HTTP calls until the listener is closed.
func (e *Engine) Serve(listener net.Listener) error {
	e.listener = silencer.New(listener)
	e.registerRoutes()
	go e.keepReportHistory()
	return e.app.Listener(e.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

func (e *Engine) setFaults(c fiber.Ctx) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := c.Bind().JSON(&e.faults); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(e.faults)
}

// SetFaults replaces the state of all fault switches.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash simulates a crash: it drops all loaded units, closes every connection and keeps the engine down for RestartMS.
func (e *Engine) Crash() { e.crash() }

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// silenceDelay lets the response to the call that silences the connections be sent first.
const silenceDelay = 20 * time.Millisecond

// freezePoll is the interval at which a frozen call checks whether the switch is off.
const freezePoll = 5 * time.Millisecond

// applyFaults delays a call while the engine is frozen, and closes its connection while the engine is down.
func (e *Engine) applyFaults(c fiber.Ctx) error {
	for e.currentFaults().Freeze {
		time.Sleep(freezePoll)
	}
	e.mu.Lock()
	down := time.Now().Before(e.downUntil)
	e.mu.Unlock()
	if down {
		return c.RequestCtx().Conn().Close()
	}
	return c.Next()
}

// crash starts a new incarnation without loaded units, which is up after RestartMS, and closes every connection.
func (e *Engine) crash() {
	e.mu.Lock()
	e.crashes++
	e.incarnation++
	e.acceptedOrders = nil
	e.memory.units = map[string]Unit{}
	e.downUntil = time.Now().Add(time.Duration(e.faults.RestartMS) * time.Millisecond)
	e.mu.Unlock()
	if e.listener != nil {
		e.listener.Reset()
	}
}

// Record holds what the engine has counted since its creation, for checks after a test or load.
type Record struct {
	// Runs counts the runs of each request id.
	Runs map[string]int `json:"runs"`
	// Loads counts the loads of each unit.
	Loads map[string]int `json:"loads"`
	// OvercommittedLoads counts the loads after which the memory used exceeded the total.
	OvercommittedLoads int64 `json:"overcommits"`
	// StaleOrders counts the orders below the highest fencing number that were not refused.
	StaleOrders int64 `json:"stale_orders"`
	Crashes     int64 `json:"crashes"`
	// Cancelled counts the streams that ended because a write of an event failed.
	Cancelled int64 `json:"cancelled"`
}

func (e *Engine) handleRecord(c fiber.Ctx) error { return c.JSON(e.Record()) }

// Record returns a copy of the engine's counts.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Runs: maps.Clone(e.runs), Loads: maps.Clone(e.loads), OvercommittedLoads: e.memory.overcommits,
		StaleOrders: e.staleOrders, Crashes: e.crashes, Cancelled: e.cancelled,
	}
}

// Interval at which reports are added to the history, and the number that the history holds.
const (
	reportInterval = 20 * time.Millisecond
	maxReports     = 500
)

// keepReportHistory adds a report to the history at each interval, for laggedReport.
func (e *Engine) keepReportHistory() {
	for {
		time.Sleep(reportInterval)
		e.mu.Lock()
		e.reportHistory = append(e.reportHistory, timedReport{time.Now(), e.makeReport()})
		if len(e.reportHistory) > maxReports {
			e.reportHistory = append([]timedReport(nil), e.reportHistory[maxReports/2:]...)
		}
		e.mu.Unlock()
	}
}

// makeReport returns a report of the current state and counts it. mu must be held.
func (e *Engine) makeReport() Report {
	e.sequence++
	return Report{
		ID: e.settings.ID, Incarnation: e.incarnation, Sequence: e.sequence, Fence: e.fence,
		MemoryTotal: e.memory.total, MemoryUsed: e.memory.used(),
		Units: e.memory.sortedUnits(), Caches: e.memory.cache.Tiers(),
		Running: e.running, Queued: e.queued, Leaving: e.faults.Leaving,
		Orders: append([]string(nil), e.acceptedOrders...),
	}
}

func (e *Engine) handleReport(c fiber.Ctx) error {
	report, omitted := e.laggedReport()
	if omitted {
		return fiber.NewError(fiber.StatusServiceUnavailable, "report left out")
	}
	return c.JSON(report)
}

// laggedReport returns the report whose age is ReportLagMS, and whether OmitReports omits it.
func (e *Engine) laggedReport() (report Report, omitted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.makeReport()
	if e.faults.OmitReports && e.sequence%2 == 0 {
		return current, true
	}
	if e.faults.ReportLagMS == 0 {
		return current, false
	}
	asOf := time.Now().Add(-time.Duration(e.faults.ReportLagMS) * time.Millisecond)
	for _, past := range e.reportHistory {
		if past.at.After(asOf) {
			break
		}
		current = past.report
	}
	return current, false
}

// String returns the engine's name for messages.
func (e *Engine) String() string { return fmt.Sprintf("engine %s", e.settings.ID) }
