package enginestandin

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// Order is a command to load or unload a unit.
type Order struct {
	ID    string `json:"id"`
	Fence int64  `json:"fence"`
	// Verb is load, unload or fence; fence only raises the fencing number.
	Verb       string `json:"verb"`
	Unit       string `json:"unit"`
	Checkpoint string `json:"checkpoint"`
	Adapter    bool   `json:"adapter"`
	Memory     int64  `json:"memory"`
	// LoadMS is the time of a load from the weight store at full speed.
	LoadMS int64 `json:"load_ms"`
}

// OrderAnswer says what became of an order.
type OrderAnswer struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason,omitempty"`
	Fence    int64  `json:"fence"`
	// Incarnation is the one that answers.
	Incarnation int64 `json:"incarnation"`
}

func (e *Engine) order(c fiber.Ctx) error {
	var order Order
	if err := c.Bind().JSON(&order); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	answer, lost := e.take(order)
	if lost {
		return c.RequestCtx().Conn().Close()
	}
	if !answer.Accepted {
		c.Status(fiber.StatusConflict)
	}
	return c.JSON(answer)
}

// take carries an order out; lost says that its answer must not arrive.
func (e *Engine) take(order Order) (answer OrderAnswer, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	answer = e.obey(order)
	answer.Incarnation = e.incarnation
	lost = answer.Accepted && e.faults.LoseOrders > 0
	if lost {
		e.faults.LoseOrders--
	}
	return answer, lost
}

// maxOrders bounds the list of accepted orders.
const maxOrders = 64

// obey carries an order out or starts it; the caller holds mu.
func (e *Engine) obey(order Order) OrderAnswer {
	if order.Fence < e.fence {
		if e.settings.Fencing {
			return OrderAnswer{Reason: "fenced", Fence: e.fence}
		}
		e.staleOrders++
	}
	e.fence = max(e.fence, order.Fence)
	for _, known := range e.orders {
		if known == order.ID {
			return OrderAnswer{Accepted: true, Fence: e.fence}
		}
	}
	if order.Verb == "load" && e.faults.Leaving {
		return OrderAnswer{Reason: "leaving", Fence: e.fence}
	}
	if order.Verb == "unload" && e.using[order.Unit] > 0 {
		return OrderAnswer{Reason: "busy", Fence: e.fence}
	}
	e.orders = append(e.orders, order.ID)
	if len(e.orders) > maxOrders {
		e.orders = append([]string(nil), e.orders[maxOrders/2:]...)
	}
	switch order.Verb {
	case "load":
		e.startLoad(order)
	case "unload":
		e.memory.remove(order.Unit)
	}
	return OrderAnswer{Accepted: true, Fence: e.fence}
}

// startLoad begins a load; the caller holds mu.
func (e *Engine) startLoad(order Order) {
	if _, present := e.memory.units[order.Unit]; present {
		return
	}
	tier := e.memory.cache.Tier(order.Unit)
	e.memory.add(Unit{Unit: order.Unit, Phase: PhaseLoading, Memory: order.Memory})
	e.loads[order.Unit]++
	go e.load(order, tier, e.incarnation)
}

// Shares of the remote load time that a load from a nearer tier takes.
const (
	MemoryTierShare = 0.1
	DiskTierShare   = 0.35
)

func (e *Engine) load(order Order, tier string, incarnation int64) {
	faults := e.currentFaults()
	milliseconds := order.LoadMS
	if faults.LoadMS > 0 {
		milliseconds = faults.LoadMS
	}
	if faults.FailLoads {
		time.Sleep(time.Duration(milliseconds/2) * time.Millisecond)
		e.finishLoad(order, incarnation, false)
		return
	}
	ok := true
	switch tier {
	case TierMemory:
		time.Sleep(time.Duration(MemoryTierShare*float64(milliseconds)) * time.Millisecond)
	case TierDisk:
		time.Sleep(time.Duration(DiskTierShare*float64(milliseconds)) * time.Millisecond)
	default:
		ok = e.fetch(order, milliseconds)
	}
	e.finishLoad(order, incarnation, ok)
}

func (e *Engine) finishLoad(order Order, incarnation int64, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	unit, present := e.memory.units[order.Unit]
	if !present || e.incarnation != incarnation {
		return
	}
	if !ok {
		delete(e.memory.units, order.Unit)
		return
	}
	unit.Phase = PhaseReady
	e.memory.units[order.Unit] = unit
}
