// Package registerstandin simulates a plain service: a register that assigns
// numbers and whose assignments must not run twice. It counts the runs of each
// assignment, for checks after a test or load.
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

// Faults holds the fault switches; the zero value switches all of them off. Calls to /faults
// and /record are never affected.
type Faults struct {
	// Freeze makes every call wait until the switch is off.
	Freeze bool `json:"freeze"`
	// SlowMS is the delay of every call in milliseconds.
	SlowMS int64 `json:"slow_ms"`
	// LoseResponses is how many of the next assignments run but get no response.
	LoseResponses int64 `json:"lose_answers"`
	// Leaving makes the register refuse every call with status 503.
	Leaving bool `json:"leaving"`
}

// Register is one simulated register.
type Register struct {
	app      *fiber.App
	listener *silencer.Listener
	// mu guards faults and runs.
	mu     sync.Mutex
	faults Faults
	// runs counts the runs by Idempotency-Key, or by request id for requests without a key.
	runs map[string]int
	// lastNumber is the last assigned number; it is not guarded by mu.
	lastNumber atomic.Int64
}

// New returns a register that accepts its connections from the listener and has assigned nothing.
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
	r.app.Get("/record", r.handleRecord)
	r.app.Use(r.applyFaults)
	r.app.Get("/health", func(c fiber.Ctx) error { return c.SendString("ok") })
	r.app.Post("/assign", r.handleAssignment)
	r.app.Get("/price/*", r.handlePrice)
	r.app.All("/echo/*", r.handleEcho)
	return r
}

// Serve handles HTTP calls until the listener is closed.
func (r *Register) Serve() error {
	return r.app.Listener(r.listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Stop closes the listener and waits for the calls in progress.
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

// silenceDelay lets the response to the call that silences the connections be sent first.
const silenceDelay = 20 * time.Millisecond

// freezePoll is the interval at which a frozen call checks whether the switch is off.
const freezePoll = 10 * time.Millisecond

// applyFaults delays or refuses a call according to the fault switches.
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

// handleRecord responds with the number of runs of each key.
func (r *Register) handleRecord(c fiber.Ctx) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.JSON(r.runs)
}

// handleAssignment counts a run of the key and assigns the next number.
func (r *Register) handleAssignment(c fiber.Ctx) error {
	key := c.Get("Idempotency-Key")
	if key == "" {
		key = c.Get("X-Request-Id")
	}
	r.mu.Lock()
	r.runs[key]++
	run := r.runs[key]
	lost := r.faults.LoseResponses > 0
	if lost {
		r.faults.LoseResponses--
	}
	r.mu.Unlock()
	number := r.lastNumber.Add(1)
	if lost {
		return c.RequestCtx().Conn().Close()
	}
	var body map[string]any
	_ = json.Unmarshal(c.Body(), &body)
	return c.JSON(map[string]any{"assignment": fmt.Sprintf("A-%06d", number), "key": key, "run": run, "request": body})
}

// handlePrice responds with a price that depends only on the length of the item's name.
func (r *Register) handlePrice(c fiber.Ctx) error {
	return c.JSON(map[string]any{"item": c.Params("*"), "price": 1000 + 17*len(c.Params("*"))})
}

// handleEcho responds with the parts of the request, so that a test can check what was forwarded.
func (r *Register) handleEcho(c fiber.Ctx) error {
	return c.JSON(map[string]any{"method": c.Method(), "path": c.Path(), "query": string(c.Request().URI().QueryString()), "body": string(c.Body()), "headers": c.GetReqHeaders()})
}
