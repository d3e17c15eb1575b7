// Package cutdetector decides whether a node is cut off from all workers, by what the node's own sends bring. It reads no clock and does no I/O.
package cutdetector

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// cutWorkers is the number of different workers that must fail as unreachable, with no bytes from any in between, for the node to count as cut
	// off. Those that are listed with one address count as one: at most one of them is there.
	cutWorkers = 3
	// probePause is the time between two requests that a node which is cut off still sends to workers itself, to notice the end of the cut.
	probePause = 500 * time.Millisecond
	// crashParts is such that a crash of one in crashParts workers of a zone, or fewer, is taken for a crash while no other zone was tried.
	crashParts = 4
	// freshTime is how long the worker that sent bytes last speaks against a cut unless it has failed since. It is shorter than the time after which
	// a connection fails whose packets are dropped (350 ms), so that it delays the detection only of cuts that reset connections. With
	// 100 ms, 2 of 200 plays in testdata/loads.json with two holders for each request count a crash as a cut, with 60 ms 37.
	freshTime = 150 * time.Millisecond
	// arrivalWait is the time from which on a read that brings bytes has waited for their arrival. A read of buffered bytes takes microseconds.
	arrivalWait = 2 * time.Millisecond
	// silentTime is the time after which a send without a response counts like a failure for the part of a zone that is silent.
	silentTime = 100 * time.Millisecond
	// heardTime is how long the node remembers that bytes arrived from a worker and prefers the worker in doubt, and how long its own zone counts as
	// reachable unless a worker there fails. A node that has had no bytes from its own zone for longer sends nothing there, which tells nothing.
	heardTime = 3 * time.Second
	// earlierHeard is the least doubt about workers that sent bytes earlier than the last one.
	earlierHeard = 0.2
	// untriedZone is the doubt that a zone adds; workers of the zone to be tried come before others that sent bytes, whose doubt is at most 1.
	untriedZone = 2.0
)

// Reasons for which a node does not count as cut off although cutWorkers were unreachable; they are the ends of names of counters.
const (
	reasonHeard   = "bytes arrived"
	reasonFresh   = "bytes arrived just before"
	reasonOwnZone = "own zone untried"
	reasonOneZone = "part of one zone"
)

// Worker is where a worker is.
type Worker struct{ Address, Zone string }

// Detector holds what a node knows of its path to the workers. It is safe for concurrent use.
type Detector struct {
	// zone is the node's own zone. Count counts the decisions by name.
	zone  string
	count func(name string)
	// doubtful is set while failed is not empty. It is written under mu, and read without it for each worker that a request may be sent to.
	doubtful atomic.Bool
	// mu guards everything below.
	mu sync.Mutex
	// failed are the addresses of the workers that were unreachable since the last bytes of any.
	failed map[string]bool
	// failedIn is the number of failed in each zone, known the number of addresses of workers in each zone at the last failure.
	failedIn map[string]int
	known    map[string]int
	// tried holds when the first send since the last bytes of any worker began, by worker.
	tried map[Worker]time.Time
	// heard holds when bytes last arrived from a worker that has not failed since, by address; times before prunedAt less heardTime are removed.
	heard    map[string]time.Time
	prunedAt time.Time
	// zoneHeard holds when bytes last arrived from any worker of a zone. HeardAt is the latest of these times, heardFrom the address of the worker.
	zoneHeard map[string]time.Time
	heardAt   time.Time
	heardFrom string
	// reason is why the node does not count as cut off although cutWorkers were unreachable; empty without such a decision since the last bytes.
	reason string
	// cut is set while the node counts as cut off, since cutAt.
	cut   bool
	cutAt time.Time
	// probeAt is when the next request is sent to workers although the node is cut off.
	probeAt time.Time
}

// New returns the detector of a node in a zone, which counts its decisions by name.
func New(zone string, count func(name string)) *Detector {
	return &Detector{
		zone: zone, count: count, failed: map[string]bool{}, failedIn: map[string]int{}, tried: map[Worker]time.Time{},
		heard: map[string]time.Time{}, zoneHeard: map[string]time.Time{},
	}
}

// Try records that a send to a worker begins.
func (d *Detector) Try(now time.Time, worker Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, tried := d.tried[worker]; !tried {
		d.tried[worker] = now
	}
}

// Fail records that a worker was unreachable; known is the number of addresses of workers that the node knows in each zone.
func (d *Detector) Fail(now time.Time, worker Worker, known map[string]int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heard, worker.Address)
	if !d.failed[worker.Address] {
		d.failed[worker.Address] = true
		d.failedIn[worker.Zone]++
	}
	d.doubtful.Store(true)
	d.known = known
	workers := 0
	for _, inZone := range known {
		workers += inZone
	}
	if d.cut || len(d.failed) < min(cutWorkers, workers) {
		return
	}
	silentMS := int64(-1)
	if !d.heardAt.IsZero() {
		silentMS = now.Sub(d.heardAt).Milliseconds()
	}
	if reason := d.otherReason(now); reason != "" {
		if reason != d.reason {
			d.reject(reason, silentMS)
		}
		return
	}
	d.cut, d.cutAt, d.probeAt = true, now, now.Add(probePause)
	d.count("cut off from workers")
	log.Warn().Str("dependency", "workers").Int("unreachable", len(d.failed)).Int("workers", workers).Int("zones", len(d.failedIn)).
		Int64("silent_ms", silentMS).Msg("cut off from all workers")
}

// reject records why the node does not count as cut off. The caller holds mu.
func (d *Detector) reject(reason string, silentMS int64) {
	d.reason = reason
	d.count("not cut off, " + reason)
	logger.Info("workers unreachable, not cut off").Str("reason", reason).Int("unreachable", len(d.failed)).Int("zones", len(d.failedIn)).
		Int64("silent_ms", silentMS).Msg("workers unreachable, not cut off")
}

// otherReason returns what else than a cut may explain the failures, or an empty text. The caller holds mu.
func (d *Detector) otherReason(now time.Time) string {
	if at, heard := d.heard[d.heardFrom]; heard && now.Sub(at) < freshTime {
		return reasonFresh
	}
	switch {
	case d.known[d.zone] > 0 && d.failedIn[d.zone] == 0 && now.Sub(d.zoneHeard[d.zone]) < heardTime:
		return reasonOwnZone // The links between zones may be cut.
	case len(d.failedIn) > 1 || len(d.known) == 1:
		return ""
	}
	for zone := range d.failedIn {
		if d.silentIn(now, zone)*crashParts > d.known[zone] {
			return ""
		}
	}
	return reasonOneZone
}

// silentIn returns the number of workers of a zone that were unreachable or have not answered a send since the last bytes of any. The caller holds
// mu.
func (d *Detector) silentIn(now time.Time, zone string) int {
	silent := d.failedIn[zone]
	for worker, at := range d.tried {
		if !d.failed[worker.Address] && worker.Zone == zone && now.Sub(at) >= silentTime {
			silent++
		}
	}
	return silent
}

// Hear records that bytes arrived from a worker.
func (d *Detector) Hear(now time.Time, worker Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard[worker.Address], d.zoneHeard[worker.Zone], d.heardAt, d.heardFrom = now, now, now, worker.Address
	if now.Sub(d.prunedAt) > heardTime {
		d.prunedAt = now
		for address, at := range d.heard {
			if now.Sub(at) > heardTime {
				delete(d.heard, address)
			}
		}
	}
	switch {
	case d.cut:
		d.count("workers reached again")
		log.Info().Str("dependency", "workers").Int64("after_ms", now.Sub(d.cutAt).Milliseconds()).Msg("workers reached again")
	case d.reason != "":
		d.reject(reasonHeard, 0)
	}
	d.cut, d.reason = false, ""
	d.doubtful.Store(false)
	clear(d.failed)
	clear(d.failedIn)
	clear(d.tried)
}

// HearRead records that a read from a worker's response that began at a time has brought bytes. Bytes that were there at once may have arrived long
// before, while the caller was slow to read, and show nothing.
func (d *Detector) HearRead(began, now time.Time, worker Worker) {
	if now.Sub(began) >= arrivalWait {
		d.Hear(now, worker)
	}
}

// Break records that a response of a worker broke off: bytes that arrived before do not show any more that it is there.
func (d *Detector) Break(worker Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.heard, worker.Address)
}

// HeardSince reports whether bytes have arrived from a zone since a time, so that a failure at that time was the worker's and not the path's.
func (d *Detector) HeardSince(zone string, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.zoneHeard[zone].After(since)
}

// Doubt returns by how much, from 0 to 3, other workers should be preferred to one while workers were unreachable and it is open whether they crashed
// or the node is cut off: the send that decides that goes to the worker that sent bytes last, and to a zone that was not tried. Without failures it
// is 0.
func (d *Detector) Doubt(now time.Time, worker Worker) float64 {
	if !d.doubtful.Load() {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	doubt := 1.0
	if at, heard := d.heard[worker.Address]; heard {
		doubt = min(earlierHeard+now.Sub(at).Seconds()/heardTime.Seconds(), 1)
		if worker.Address == d.heardFrom {
			doubt = 0
		}
	}
	onlyOwnTried := d.failedIn[d.zone] == len(d.failed)
	if worker.Zone == d.zone && onlyOwnTried && len(d.failed) >= cutWorkers-1 || worker.Zone != d.zone && d.failedIn[d.zone] == 0 {
		doubt += untriedZone
	}
	return doubt
}

// IsCut reports whether the node is cut off.
func (d *Detector) IsCut() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut
}

// Failures returns the number of workers that were unreachable since the last bytes of any.
func (d *Detector) Failures() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.failed)
}

// Carries reports whether a request should be passed on at once, which is so while the node is cut off but for one request in probePause.
func (d *Detector) Carries(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cut && !now.Before(d.probeAt) {
		d.probeAt = now.Add(probePause)
		return false
	}
	return d.cut
}

// WouldCarry returns what Carries would, and changes nothing.
func (d *Detector) WouldCarry(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut && now.Before(d.probeAt)
}
