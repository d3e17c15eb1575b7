package soaker

import (
	"fmt"
	"net"
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

// leaveUnlisted makes the current worker leave by its entry alone: it serves on.
func (e *endpoint) leaveUnlisted(store *fleetstandin.Store) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.worker.LeaveUnlisted(store)
}

// lapse deletes the current worker's entry; it is written again from a time on.
func (e *endpoint) lapse(store *fleetstandin.Store, until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapsedUntil = until
	e.worker.DeleteEntry(store)
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

// successions are the ways in which workers are replaced at their addresses at once, behind connections that live on: by a worker of another ID, by one of the
// same ID, or by one of another service, and by a new process, which ends the connections.
var successions = map[string]func(e *environment, target *endpoint){
	"rename": func(e *environment, target *endpoint) {
		e.succeed(target, func(replaced *fleetstandin.Worker) *fleetstandin.Worker {
			return replaced.Copy(e.newWorkerID(target.service))
		})
	},
	"restart": func(e *environment, target *endpoint) {
		e.succeed(target, func(replaced *fleetstandin.Worker) *fleetstandin.Worker { return replaced.Copy(replaced.ID()) })
	},
	"reassign": func(e *environment, target *endpoint) {
		e.succeed(target, func(replaced *fleetstandin.Worker) *fleetstandin.Worker {
			for _, other := range e.endpoints {
				if other == target {
					continue
				}
				if worker := other.current(); worker.Service() != replaced.Service() {
					return worker.Copy(e.newWorkerID(worker.Service()))
				}
			}
			return replaced.Copy(e.newWorkerID(target.service))
		})
	},
	"respawn": func(e *environment, target *endpoint) {
		if !target.replacing.TryLock() {
			return
		}
		defer target.replacing.Unlock()
		replaced := target.current()
		target.stopWorker()
		e.startWorker(target, nil, nil)
		target.successions++
		time.AfterFunc(entryExpiry, func() { replaced.DeleteEntry(e.store) })
	},
}

// succeed replaces the current worker by its successor. The entry of another ID is listed until it lapses. It does nothing while the worker is being replaced for another reason.
func (e *environment) succeed(target *endpoint, successorOf func(*fleetstandin.Worker) *fleetstandin.Worker) {
	if !target.replacing.TryLock() {
		return
	}
	defer target.replacing.Unlock()
	replaced := target.current()
	successor := successorOf(replaced)
	replaced.Succeed(successor)
	if successor.ID() != replaced.ID() {
		time.AfterFunc(entryExpiry, func() { replaced.DeleteEntry(e.store) })
	}
	target.mu.Lock()
	defer target.mu.Unlock()
	target.worker = successor
	if !e.store.Unavailable() {
		successor.WriteHeartbeat(e.store, target.proxy.Address())
	}
	target.successions++
}

// current returns the endpoint's worker.
func (e *endpoint) current() *fleetstandin.Worker {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.worker
}

// newWorkerID returns an ID that no worker has had.
func (e *environment) newWorkerID(service string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.workerStarts++
	return fmt.Sprintf("i-%s-%d", service, e.workerStarts)
}

// startWorker starts a worker under a new ID and directs the endpoint's proxy to it.
func (e *environment) startWorker(target *endpoint, loaded, onDisk []string) {
	id := e.newWorkerID(target.service)
	capacity := 0
	if target.service == "models" {
		capacity = modelCapacity
	}
	worker := fleetstandin.NewWorker(id, target.service, target.zone, capacity, loaded, onDisk, e.record)
	worker.SetSoftware(target.software)
	worker.OnCrash(func(cause fleetstandin.CrashCause) { e.crashByRequest(target, cause, onDisk) })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		e.addFailure("SOAK", err.Error())
		return
	}
	server := fleetstandin.Serve(worker, listener) // Closed by stopWorker.
	target.proxy.SetTarget(listener.Addr().String())
	target.mu.Lock()
	worker.SetBrittle(target.brittle)
	worker.SetFaults(target.faults)
	target.worker, target.server, target.silent = worker, server, false
	target.mu.Unlock()
}
