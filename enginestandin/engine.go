// Package enginestandin stands in for a model engine: it loads units within
// its memory, streams deterministic answers in the OpenAI form, takes fenced
// orders, reports its load, and has a switch for each of its faults.
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

// Settings describe one engine.
type Settings struct {
	// ID is the host's name in the host list.
	ID string
	// Platform is the address of the weight store, or empty for none.
	Platform string
	// Memory is the bytes for models.
	Memory int64
	// Fencing makes the engine refuse orders with an old fencing number.
	Fencing bool
	// FirstTokenMS and TokenMS are the times to the first token and between tokens.
	FirstTokenMS, TokenMS int64
	// Slots is how many requests run at once; more wait.
	Slots int
}

// Faults is the state of the fault switches.
type Faults struct {
	// Freeze makes every call wait until the switch is off.
	Freeze bool `json:"freeze"`
	// FailLoads makes every load fail half way.
	FailLoads bool `json:"fail_loads"`
	// LoadMS replaces the time of every load when above 0.
	LoadMS int64 `json:"load_ms"`
	// LoseOrders is how many of the next orders take effect and lose their answer.
	LoseOrders int64 `json:"lose_orders"`
	// ReportLagMS is how old the load report is when read.
	ReportLagMS int64 `json:"report_lag_ms"`
	// Gap makes the engine leave every second report out.
	Gap bool `json:"gap"`
	// Leaving makes the engine refuse new work.
	Leaving bool `json:"leaving"`
	// SilentAnswers makes the engine accept requests and never answer.
	SilentAnswers bool `json:"silent_answers"`
	// CutAfter ends every stream after that many tokens when above 0.
	CutAfter int64 `json:"cut_after"`
	// Crossed makes the engine answer with the request id of another request.
	Crossed bool `json:"crossed"`
	// Truncated makes whole answers shorter than their Content-Length.
	Truncated bool `json:"truncated"`
	// CrashMarker crashes the engine when a prompt contains it.
	CrashMarker string `json:"crash_marker"`
	// RestartMS is how long a crashed engine stays away.
	RestartMS int64 `json:"restart_ms"`
}

// Report is the engine's account of itself.
type Report struct {
	ID string `json:"id"`
	// Incarnation changes when the engine restarts.
	Incarnation int64 `json:"incarnation"`
	// Sequence counts the reports made.
	Sequence    int64             `json:"sequence"`
	Fence       int64             `json:"fence"`
	MemoryTotal int64             `json:"memory_total"`
	MemoryUsed  int64             `json:"memory_used"`
	Units       []Unit            `json:"units"`
	Caches      map[string]string `json:"caches"`
	Running     int               `json:"running"`
	Queued      int               `json:"queued"`
	Leaving     bool              `json:"leaving"`
	// Orders lists the ids of the last orders that were accepted.
	Orders []string `json:"orders"`
}

// datedReport is a report with the time at which it was made.
type datedReport struct {
	at     time.Time
	report Report
}

// Engine is one running stand-in.
type Engine struct {
	settings Settings
	app      *fiber.App
	listener *silencer.Listener
	// mu guards all fields below.
	mu          sync.Mutex
	faults      Faults
	memory      memory
	fence       int64
	incarnation int64
	sequence    int64
	orders      []string
	running     int
	queued      int
	// awayUntil is when a crashed engine is back.
	awayUntil time.Time
	// runs counts the runs of each request id; staleOrders counts the orders with an old fence that were obeyed.
	runs        map[string]int
	staleOrders int64
	// using counts the requests at each unit that have not ended.
	using     map[string]int
	loads     map[string]int
	crashes   int64
	cancelled int64
	reports   []datedReport
	// slots holds one token for each request that may run.
	slots chan struct{}
}

// New returns an engine with nothing loaded.
func New(settings Settings) *Engine {
	return &Engine{
		settings:    settings,
		memory:      memory{total: settings.Memory, units: map[string]Unit{}},
		incarnation: time.Now().UnixNano(),
		runs:        map[string]int{},
		loads:       map[string]int{},
		using:       map[string]int{},
		slots:       make(chan struct{}, max(settings.Slots, 1)),
	}
}

func (e *Engine) route() {
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
	e.app.Get("/record", e.record)
	e.app.Use(e.applyFaults)
	e.app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	e.app.Get("/report", e.report)
	e.app.Post("/orders", e.order)
	e.app.Post("/v1/chat/completions", e.complete)
	e.app.Post("/v1/completions", e.complete)
}

// Serve answers calls until the listener is closed.
func (e *Engine) Serve(listener net.Listener) error {
	e.listener = silencer.New(listener)
	e.route()
	go e.recordReports()
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

// SetFaults sets every fault switch.
func (e *Engine) SetFaults(faults Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash loses everything loaded and cuts every connection.
func (e *Engine) Crash() { e.crash() }

func (e *Engine) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// silenceDelay lets the answer to the silence switch itself get through.
const silenceDelay = 20 * time.Millisecond

// freezePoll is how often a frozen call looks whether the switch is off.
const freezePoll = 5 * time.Millisecond

func (e *Engine) applyFaults(c fiber.Ctx) error {
	for e.currentFaults().Freeze {
		time.Sleep(freezePoll)
	}
	e.mu.Lock()
	away := time.Now().Before(e.awayUntil)
	e.mu.Unlock()
	if away {
		return c.RequestCtx().Conn().Close()
	}
	return c.Next()
}

// crash loses everything loaded and cuts every connection.
func (e *Engine) crash() {
	e.mu.Lock()
	e.crashes++
	e.incarnation++
	e.orders = nil
	e.memory.units = map[string]Unit{}
	e.awayUntil = time.Now().Add(time.Duration(e.faults.RestartMS) * time.Millisecond)
	e.mu.Unlock()
	if e.listener != nil {
		e.listener.Cut()
	}
}

// Record is the engine's account of what happened to it.
type Record struct {
	// Runs counts the runs of each request id.
	Runs map[string]int `json:"runs"`
	// Loads counts the loads of each unit.
	Loads       map[string]int `json:"loads"`
	Overcommits int64          `json:"overcommits"`
	StaleOrders int64          `json:"stale_orders"`
	Crashes     int64          `json:"crashes"`
	Cancelled   int64          `json:"cancelled"`
}

func (e *Engine) record(c fiber.Ctx) error { return c.JSON(e.Record()) }

// Record returns the engine's account of what happened to it.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Record{
		Runs: maps.Clone(e.runs), Loads: maps.Clone(e.loads), Overcommits: e.memory.overcommits,
		StaleOrders: e.staleOrders, Crashes: e.crashes, Cancelled: e.cancelled,
	}
}

// Times at which reports are made and for which they are kept.
const (
	reportInterval = 20 * time.Millisecond
	maxReports     = 500
)

// recordReports keeps a history of reports for lagging reads.
func (e *Engine) recordReports() {
	for {
		time.Sleep(reportInterval)
		e.mu.Lock()
		e.reports = append(e.reports, datedReport{time.Now(), e.makeReport()})
		if len(e.reports) > maxReports {
			e.reports = append([]datedReport(nil), e.reports[maxReports/2:]...)
		}
		e.mu.Unlock()
	}
}

// makeReport describes the present state; the caller holds mu.
func (e *Engine) makeReport() Report {
	e.sequence++
	return Report{
		ID: e.settings.ID, Incarnation: e.incarnation, Sequence: e.sequence, Fence: e.fence,
		MemoryTotal: e.memory.total, MemoryUsed: e.memory.used(),
		Units: e.memory.list(), Caches: e.memory.cache.Tiers(),
		Running: e.running, Queued: e.queued, Leaving: e.faults.Leaving,
		Orders: append([]string(nil), e.orders...),
	}
}

func (e *Engine) report(c fiber.Ctx) error {
	report, leftOut := e.lagging()
	if leftOut {
		return fiber.NewError(fiber.StatusServiceUnavailable, "report left out")
	}
	return c.JSON(report)
}

// lagging returns the report as old as the switch says, and whether it is left out.
func (e *Engine) lagging() (report Report, leftOut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.makeReport()
	if e.faults.Gap && e.sequence%2 == 0 {
		return current, true
	}
	if e.faults.ReportLagMS == 0 {
		return current, false
	}
	asOf := time.Now().Add(-time.Duration(e.faults.ReportLagMS) * time.Millisecond)
	for _, past := range e.reports {
		if past.at.After(asOf) {
			break
		}
		current = past.report
	}
	return current, false
}

// String names the engine in messages.
func (e *Engine) String() string { return fmt.Sprintf("engine %s", e.settings.ID) }
