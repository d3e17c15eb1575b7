// Package registerstandin stands in for a plain service whose assignments
// must not be repeated. It keeps its own record of what ran.
package registerstandin

import (
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/silencer"
)

// Faults is the state of the fault switches.
type Faults struct {
	// Freeze makes every call wait until the switch is off.
	Freeze bool `json:"freeze"`
	// SlowMS delays every call.
	SlowMS int64 `json:"slow_ms"`
	// LoseAnswers is how many of the next assignments run and lose their answer.
	LoseAnswers int64 `json:"lose_answers"`
	// Leaving makes the endpoint refuse new work with status 503.
	Leaving bool `json:"leaving"`
}

// Register is one running stand-in.
type Register struct {
	app      *fiber.App
	listener *silencer.Listener
	// mu guards faults and runs.
	mu     sync.Mutex
	faults Faults
	// runs counts the runs of each Idempotency-Key, or of each request id without one.
	runs     map[string]int
	assigned atomic.Int64
}

// New returns a register with no assignments.
func New(listener net.Listener) *Register {
	r := &Register{
		app:      fiber.New(fiber.Config{Immutable: true}),
		listener: silencer.New(listener),
		runs:     map[string]int{},
	}
	r.app.Put("/faults", r.setFaults)
	r.app.Post("/faults/silence", func(c fiber.Ctx) error {
		time.AfterFunc(silenceDelay, func() { r.listener.Silence() })
		return c.SendStatus(fiber.StatusNoContent)
	})
	r.app.Get("/record", r.record)
	r.app.Use(r.applyFaults)
	r.app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	r.app.Post("/assign", r.assign)
	r.app.Get("/price/*", r.price)
	r.app.All("/echo/*", r.echo)
	return r
}

// Serve answers calls until the listener is closed.
func (r *Register) Serve() error {
	return r.app.Listener(r.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Stop ends the stand-in.
func (r *Register) Stop() error { return r.app.Shutdown() }

func (r *Register) setFaults(c fiber.Ctx) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := c.Bind().JSON(&r.faults); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	return c.JSON(r.faults)
}

func (r *Register) currentFaults() Faults {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults
}

// silenceDelay lets the answer to the silence switch itself get through.
const silenceDelay = 20 * time.Millisecond

// freezePoll is how often a frozen call looks whether the switch is off.
const freezePoll = 10 * time.Millisecond

func (r *Register) applyFaults(c fiber.Ctx) error {
	for r.currentFaults().Freeze {
		time.Sleep(freezePoll)
	}
	faults := r.currentFaults()
	if faults.Leaving {
		return fiber.NewError(fiber.StatusServiceUnavailable, "leaving")
	}
	time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
	return c.Next()
}

func (r *Register) record(c fiber.Ctx) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.JSON(r.runs)
}

func (r *Register) assign(c fiber.Ctx) error {
	key := c.Get("Idempotency-Key")
	if key == "" {
		key = c.Get("X-Request-Id")
	}
	r.mu.Lock()
	r.runs[key]++
	run := r.runs[key]
	lose := r.faults.LoseAnswers > 0
	if lose {
		r.faults.LoseAnswers--
	}
	r.mu.Unlock()
	number := r.assigned.Add(1)
	if lose {
		return c.RequestCtx().Conn().Close()
	}
	var body map[string]any
	_ = json.Unmarshal(c.Body(), &body)
	return c.JSON(map[string]any{"assignment": fmt.Sprintf("A-%06d", number), "key": key, "run": run, "request": body})
}

func (r *Register) price(c fiber.Ctx) error {
	return c.JSON(map[string]any{"item": c.Params("*"), "price": 1000 + 17*len(c.Params("*"))})
}

func (r *Register) echo(c fiber.Ctx) error {
	return c.JSON(map[string]any{"method": c.Method(), "path": c.Path(), "query": string(c.Request().URI().QueryString()), "body": string(c.Body()), "headers": c.GetReqHeaders()})
}
