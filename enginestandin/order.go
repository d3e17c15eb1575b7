package enginestandin

import (
	"time"

	"github.com/gofiber/fiber/v3"
)

// Order is a command to load or unload a unit.
type Order struct {
	// ID identifies the order; a repeated order with the same id has no further effect.
	ID string `json:"id"`
	// Fence is the fencing number of the leader that sends the order.
	Fence int64 `json:"fence"`
	// Verb is load, unload or fence; fence only raises the engine's fencing number.
	Verb       string `json:"verb"`
	Unit       string `json:"unit"`
	Checkpoint string `json:"checkpoint"`
	Adapter    bool   `json:"adapter"`
	// Memory is the memory that the unit uses, in bytes.
	Memory int64 `json:"memory"`
	// LoadMS is the time of a load from the weight store at full speed.
	LoadMS int64 `json:"load_ms"`
}

// OrderResponse is the engine's response to an order.
type OrderResponse struct {
	Accepted bool `json:"accepted"`
	// Reason is why the order was refused: fenced, leaving or busy.
	Reason string `json:"reason,omitempty"`
	// Fence is the highest fencing number seen.
	Fence int64 `json:"fence"`
	// Incarnation is the incarnation of the engine that responds.
	Incarnation int64 `json:"incarnation"`
}

func (e *Engine) handleOrder(c fiber.Ctx) error {
	var order Order
	if err := c.Bind().JSON(&order); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	response, lost := e.executeOrder(order)
	if lost {
		return c.RequestCtx().Conn().Close()
	}
	if !response.Accepted {
		c.Status(fiber.StatusConflict)
	}
	return c.JSON(response)
}

// executeOrder applies an order. If lost is true, the response must not be sent.
func (e *Engine) executeOrder(order Order) (response OrderResponse, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	response = e.applyOrder(order)
	response.Incarnation = e.incarnation
	lost = response.Accepted && e.faults.LoseOrders > 0
	if lost {
		e.faults.LoseOrders--
	}
	return response, lost
}

// maxAcceptedOrders is the maximum number of listed orders; beyond it, the older half is dropped.
const maxAcceptedOrders = 64

// applyOrder checks an order and unloads the unit or starts its load. mu must be held.
func (e *Engine) applyOrder(order Order) OrderResponse {
	if order.Fence < e.fence {
		if e.settings.Fencing {
			return OrderResponse{Reason: "fenced", Fence: e.fence}
		}
		e.staleOrders++
	}
	e.fence = max(e.fence, order.Fence)
	for _, accepted := range e.acceptedOrders {
		if accepted == order.ID {
			return OrderResponse{Accepted: true, Fence: e.fence}
		}
	}
	if order.Verb == "load" && e.faults.Leaving {
		return OrderResponse{Reason: "leaving", Fence: e.fence}
	}
	if order.Verb == "unload" && e.inFlight[order.Unit] > 0 {
		return OrderResponse{Reason: "busy", Fence: e.fence}
	}
	e.acceptedOrders = append(e.acceptedOrders, order.ID)
	if len(e.acceptedOrders) > maxAcceptedOrders {
		e.acceptedOrders = append([]string(nil), e.acceptedOrders[maxAcceptedOrders/2:]...)
	}
	switch order.Verb {
	case "load":
		e.startLoad(order)
	case "unload":
		e.memory.remove(order.Unit)
	}
	return OrderResponse{Accepted: true, Fence: e.fence}
}

// startLoad starts the load of a unit unless it is resident. mu must be held.
func (e *Engine) startLoad(order Order) {
	if _, present := e.memory.units[order.Unit]; present {
		return
	}
	tier := e.memory.cache.Tier(order.Unit)
	e.memory.add(Unit{Unit: order.Unit, Phase: PhaseLoading, Memory: order.Memory})
	e.loads[order.Unit]++
	go e.load(order, tier, e.incarnation)
}

// Times of a load from a faster tier, as fractions of the time of a load from the weight store.
const (
	MemoryTierLoadFraction = 0.1
	DiskTierLoadFraction   = 0.35
)

// load sleeps for the load time of a unit's tier or fetches the unit from the weight store.
// The incarnation is that of the engine when the load was started.
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
		time.Sleep(time.Duration(MemoryTierLoadFraction*float64(milliseconds)) * time.Millisecond)
	case TierDisk:
		time.Sleep(time.Duration(DiskTierLoadFraction*float64(milliseconds)) * time.Millisecond)
	default:
		ok = e.fetchCheckpoint(order, milliseconds)
	}
	e.finishLoad(order, incarnation, ok)
}

// finishLoad makes a unit ready, or removes it when the load failed. It does nothing
// when the unit was unloaded or the engine crashed in the meantime.
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
