package enginestandin

import (
	"errors"
	"time"

	"github.com/acaciaproxy/acaciaproxy/engineclient"
)

// Causes of calls that get no response.
var (
	errUnreachable = errors.New("engine is down after a crash, or the deadline passed while it was frozen")
	errLost        = errors.New("response was lost or later than the deadline")
	errOmitted     = errors.New("report was omitted by the fault switch gap")
)

// DirectControl returns a control that calls the engine in the same process, without a
// network, and applies the same fault switches. Tests that run on a fake clock use it.
func (e *Engine) DirectControl(address string) *engineclient.Control {
	return &engineclient.Control{Address: address, Report: e.directReport, Order: e.directOrder}
}

// waitReachable waits while the engine is frozen, and then reports whether it is up.
func (e *Engine) waitReachable() bool {
	for e.currentFaults().Freeze {
		time.Sleep(freezePoll)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return !time.Now().Before(e.downUntil)
}

func (e *Engine) directReport(deadline time.Time) (engineclient.Report, error) {
	if !e.waitReachable() || time.Now().After(deadline) {
		return engineclient.Report{}, engineclient.NewBrokenError(errUnreachable)
	}
	report, omitted := e.laggedReport()
	if omitted {
		return engineclient.Report{}, engineclient.NewBrokenError(errOmitted)
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

func (e *Engine) directOrder(deadline time.Time, order engineclient.Order) (engineclient.OrderResponse, error) {
	if !e.waitReachable() {
		return engineclient.OrderResponse{}, engineclient.NewBrokenError(errUnreachable)
	}
	response, lost := e.executeOrder(Order(order))
	if lost || time.Now().After(deadline) {
		return engineclient.OrderResponse{}, engineclient.NewBrokenError(errLost)
	}
	return engineclient.OrderResponse{Accepted: response.Accepted, Reason: response.Reason, Incarnation: response.Incarnation}, nil
}
