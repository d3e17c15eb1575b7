package soaker

import (
	"time"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// crashDowntime is the time from the crash of a worker by a request to the start of the next one, rackDowntime that from the loss of its rack.
const (
	crashDowntime = 600 * time.Millisecond
	rackDowntime  = 4500 * time.Millisecond
)

// crashByRequest ends a worker that runs a crashing request, and starts an empty one with the same disk. It does nothing while the worker
// is being replaced for another reason.
func (e *environment) crashByRequest(target *endpoint, cause fleetstandin.CrashCause, onDisk []string) {
	e.crashWorker(target, cause, crashDowntime, onDisk)
}

// crashWorker ends a worker for a cause, and starts an empty one with the same disk after some time, as crashByRequest does.
func (e *environment) crashWorker(target *endpoint, cause fleetstandin.CrashCause, downtime time.Duration, onDisk []string) {
	if !target.replacing.TryLock() {
		return
	}
	target.mu.Lock()
	crashed := target.worker
	target.mu.Unlock()
	e.record.AddCrash(cause)
	e.recordInterruption()
	target.stopWorker()
	target.proxy.Refuse()
	time.AfterFunc(entryExpiry, func() { crashed.DeleteEntry(e.store) })
	go func() {
		defer target.replacing.Unlock()
		time.Sleep(downtime)
		e.startWorker(target, nil, onDisk)
		if err := target.proxy.Accept(time.Now().Add(startTimeout)); err != nil {
			e.addFailure("SOAK", err.Error())
		}
		time.Sleep(entryExpiry - downtime)
	}()
}
