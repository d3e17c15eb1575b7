package conductor

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// heldUnit is a model in a worker's memory.
type heldUnit struct {
	// adapters are ready, coming are being loaded, each with when it was last used or ordered.
	adapters, coming map[string]time.Time
	// usedAt is when a request last ran for the model.
	usedAt time.Time
}

func newHeldUnit(adapters []string, now time.Time) *heldUnit {
	return &heldUnit{adapters: lo.SliceToMap(adapters, func(name string) (string, time.Time) { return name, now }), coming: map[string]time.Time{}}
}

// charge is what the leader believes of one worker. The conductor's lock guards it.
type charge struct {
	// giving is held while an order is on its way, since each must name the count after the one before.
	giving sync.Mutex
	// worker is the newest heartbeat.
	worker *registrar.Worker
	// born and orders say to which start and after how many orders the units apply.
	born, orders int64
	units        map[string]*heldUnit
	// loading is the model of a load under way, or empty; readyAt is when it should end.
	loading string
	readyAt time.Time
	// swapping is set while a goroutine gives orders for a move; nothing else is loaded there meanwhile.
	swapping bool
	// adapting is set while a goroutine gives an order for an adapter.
	adapting bool
	// reserved is set while callers wait for an adapter that should be loaded here next.
	reserved bool
	// unsure is set when an order's outcome is not known or a count did not match; a report must come first.
	unsure bool
	// reporting is set while a goroutine reads a report.
	reporting bool
	// changedAt is when an order last changed the state.
	changedAt time.Time
	// inMemory and onDisk name the copies outside the accelerators.
	inMemory, onDisk map[string]bool
	// running maps models to the requests that all nodes have there.
	running map[string]int
	// failures counts the moves that failed since the last that did not; retryAt is when the next may begin.
	failures int
	retryAt  time.Time
}

// idle reports whether no order is under way.
func (c *charge) idle() bool { return !c.swapping && !c.adapting && !c.reporting }

// heartbeatLag is the age of an order's effect from which a heartbeat must show it.
const heartbeatLag = 3 * time.Second

// observe takes in a heartbeat and reports whether the worker changed. Heartbeats
// do not count orders, so what they show is believed only until the first report.
func (c *charge) observe(now time.Time, w *registrar.Worker) bool {
	if c.worker == w {
		return false
	}
	before := c.worker
	c.worker = w
	if before == nil || w.Born > c.born {
		c.adopt(now, w.Born, 0, w.Held, w.InMemory, w.OnDisk)
		c.unsure = true
		return true
	}
	if w.Born == c.born {
		// Also of a worker that is never idle, whose loads evict copies.
		c.inMemory, c.onDisk = w.InMemory, w.OnDisk
	}
	if w.Born == c.born && c.idle() {
		if now.Sub(c.changedAt) > heartbeatLag && !c.matches(w.Held) {
			c.unsure = true
		}
	}
	return before.Leaving != w.Leaving
}

// matches reports whether the units are those of a list.
func (c *charge) matches(held map[string][]string) bool {
	if len(held) != len(c.units) {
		return false
	}
	for model, adapters := range held {
		unit, known := c.units[model]
		if !known || len(unit.adapters) != len(adapters) {
			return false
		}
		for _, adapter := range adapters {
			if _, ready := unit.adapters[adapter]; !ready {
				return false
			}
		}
	}
	return true
}

// adopt replaces the state by the worker's own account.
func (c *charge) adopt(now time.Time, born, orders int64, held map[string][]string, inMemory, onDisk map[string]bool) {
	units := make(map[string]*heldUnit, len(held))
	for model, adapters := range held {
		unit := newHeldUnit(adapters, now)
		if known, found := c.units[model]; found {
			unit.usedAt = known.usedAt
			for name, usedAt := range known.adapters {
				if _, still := unit.adapters[name]; still {
					unit.adapters[name] = usedAt
				}
			}
		}
		units[model] = unit
	}
	c.born, c.orders, c.units = born, orders, units
	c.loading = ""
	c.inMemory, c.onDisk = inMemory, onDisk
	c.unsure = false
	c.changedAt = now
}

// adoptReport takes in a report. A worker that is still busy stays unsure.
func (c *charge) adoptReport(now time.Time, report Report) {
	c.adopt(now, report.Born, report.Orders, report.Held, report.InMemory, report.OnDisk)
	c.unsure = report.Busy
	for _, name := range report.Coming {
		bare, _, _ := strings.Cut(name, "@")
		model, adapter, _ := strings.Cut(bare, "/")
		if unit, found := c.units[model]; found {
			unit.coming[adapter] = now
		}
	}
}

// doubt makes the next move wait for a report that is made after the last order.
func (c *charge) doubt(now time.Time) {
	c.unsure = true
	c.retryAt = now.Add(max(min(firstRetry<<min(c.failures, 8), lastRetry), reportLag))
	c.failures++
}

// adapterCount returns how many adapter places are taken.
func (c *charge) adapterCount() int {
	count := 0
	for _, unit := range c.units {
		count += len(unit.adapters) + len(unit.coming)
	}
	return count
}

// total returns how many requests all nodes have at the worker.
func (c *charge) total() int { return lo.Sum(lo.Values(c.running)) }

// idleMS returns for how long no request ran for a unit, in milliseconds.
func (c *charge) idleMS(now time.Time, model string, unit *heldUnit) float64 {
	if c.running[model] > 0 {
		return 0
	}
	return float64(now.Sub(unit.usedAt).Milliseconds())
}

// models returns the units' names in order.
func (c *charge) models() []string {
	names := lo.Keys(c.units)
	slices.Sort(names)
	return names
}
