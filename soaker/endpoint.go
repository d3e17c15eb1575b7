package soaker

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// setLimit makes the current worker name a limit in requests a second; 0 for none.
func (e *endpoint) setLimit(perSecond float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.SetLimit(perSecond)
}

// setBrittle makes the current worker and those after it name a number as brittle ones; 0 for none.
func (e *endpoint) setBrittle(perSecond int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.brittle = perSecond
	e.worker.SetBrittle(perSecond)
}

// setFaults makes the current worker and those after it faulty; the zero value ends that.
func (e *endpoint) setFaults(faults fleetstandin.Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.worker.SetFaults(faults)
}

// shed makes the current worker turn all requests away but one in so many; 0 for none.
func (e *endpoint) shed(runsEvery int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.Shed(runsEvery)
}

// cutStreams makes the current worker cut one in so many streams; 0 for none.
func (e *endpoint) cutStreams(every int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.CutStreams(every)
}

// depart makes the current worker say in its responses that it leaves.
func (e *endpoint) depart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.Depart()
}

// pause makes the current worker refuse all requests until a time, and ask for none until then.
func (e *endpoint) pause(until time.Time, nodes int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.Pause(until, nodes*maxNodePauseArrivals)
}

// maxNodePauseArrivals is how many attempts of one node may reach a worker that has asked for a pause: the first, by which the node learns of it,
// and two more.
const maxNodePauseArrivals = 3

// stopWorker stops the worker immediately, as the end of its process would. It does nothing if the worker is stopped already.
func (e *endpoint) stopWorker() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.silent {
		return
	}
	e.silent = true
	e.worker.Stop()
	_ = e.server.Close() // Breaks off the running requests.
}
