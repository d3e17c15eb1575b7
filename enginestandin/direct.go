package enginestandin

import (
	"errors"
	"time"

	"github.com/acaciaproxy/acaciaproxy/engineclient"
)

// Causes of unanswered calls.
var (
	errAway    = errors.New("engine is away")
	errLost    = errors.New("answer lost")
	errLeftOut = errors.New("report left out")
)

// Direct returns the engine's control without a network between, with the same
// fault switches. Tests on a fake clock use it.
func (e *Engine) Direct(address string) *engineclient.Control {
	return &engineclient.Control{Address: address, Report: e.directReport, Order: e.directOrder}
}

// reach waits while the engine is frozen and reports whether the call gets through.
func (e *Engine) reach() bool {
	for e.currentFaults().Freeze {
		time.Sleep(freezePoll)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !time.Now().Before(e.awayUntil)
}

func (e *Engine) directReport(deadline time.Time) (engineclient.Report, error) {
	if !e.reach() || time.Now().After(deadline) {
		return engineclient.Report{}, engineclient.NewBrokenError(errAway)
	}
	report, leftOut := e.lagging()
	if leftOut {
		return engineclient.Report{}, engineclient.NewBrokenError(errLeftOut)
	}
	converted := engineclient.Report{
		ID: report.ID, Incarnation: report.Incarnation, Sequence: report.Sequence, Caches: report.Caches,
		Running: report.Running, Queued: report.Queued, Leaving: report.Leaving, Orders: report.Orders,
	}
	for _, unit := range report.Units {
		converted.Units = append(converted.Units, engineclient.Unit(unit))
	}
	return converted, nil
}

func (e *Engine) directOrder(deadline time.Time, order engineclient.Order) (engineclient.OrderAnswer, error) {
	if !e.reach() {
		return engineclient.OrderAnswer{}, engineclient.NewBrokenError(errAway)
	}
	answer, lost := e.take(Order(order))
	if lost || time.Now().After(deadline) {
		return engineclient.OrderAnswer{}, engineclient.NewBrokenError(errLost)
	}
	return engineclient.OrderAnswer{Accepted: answer.Accepted, Reason: answer.Reason, Incarnation: answer.Incarnation}, nil
}
