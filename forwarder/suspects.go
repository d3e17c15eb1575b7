package forwarder

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// maxCrashes is the number of worker crashes after which the request that was running each time is refused.
	maxCrashes = 2
	// suspicionTime is how long a crash counts against a request that was running.
	suspicionTime = 2 * time.Minute
)

// Suspicion records that a request was running on a worker that crashed.
type Suspicion struct {
	// Fingerprint identifies the request's content, Worker is the worker's ID, Incarnation identifies the start of the crashed process.
	Fingerprint, Worker string
	Incarnation         int64
}

// crashRecords holds the worker crashes during which requests were running, by the requests' fingerprints.
type crashRecords struct {
	// mu guards everything below.
	mu sync.Mutex
	// crashes maps fingerprints to suspicions and when each expires.
	crashes map[string]map[Suspicion]time.Time
	// unsent are suspicions that TakeSuspicions has not returned yet.
	unsent []Suspicion
}

func newCrashRecords() *crashRecords {
	return &crashRecords{crashes: map[string]map[Suspicion]time.Time{}}
}

// add records a suspicion and reports whether it is new.
func (r *crashRecords) add(now time.Time, suspicion Suspicion) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	expiries := r.crashes[suspicion.Fingerprint]
	if expiries == nil {
		expiries = map[Suspicion]time.Time{}
		r.crashes[suspicion.Fingerprint] = expiries
	}
	_, known := expiries[suspicion]
	expiries[suspicion] = now.Add(suspicionTime)
	return !known
}

// count drops expired suspicions of a request and returns the number of those left, one for each crash.
func (r *crashRecords) count(now time.Time, fingerprint string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	expiries := r.crashes[fingerprint]
	for suspicion, expiry := range expiries {
		if now.After(expiry) {
			delete(expiries, suspicion)
		}
	}
	if len(expiries) == 0 {
		delete(r.crashes, fingerprint)
	}
	return len(expiries)
}

// TakeSuspicions returns the suspicions that this node found since the last call.
func (f *Forwarder) TakeSuspicions() []Suspicion {
	f.crashRecords.mu.Lock()
	defer f.crashRecords.mu.Unlock()
	unsent := f.crashRecords.unsent
	f.crashRecords.unsent = nil
	return unsent
}

// AddSuspicion records a suspicion that another node found.
func (f *Forwarder) AddSuspicion(suspicion Suspicion) { f.crashRecords.add(time.Now(), suspicion) }

// checkCrashes sets the call's fingerprint and returns a refusal if the request was running during maxCrashes crashes.
func (f *Forwarder) checkCrashes(c *call) error {
	c.fingerprint = crashreporter.Fingerprint(c.Method+" "+c.Host+c.Target, c.Body)
	if f.crashRecords.count(time.Now(), c.fingerprint) >= maxCrashes {
		return newRefusal("crashes_workers", "this request was running at workers that crashed", suspicionTime)
	}
	return nil
}

// recordCrash records a suspicion if a worker crashed while it ran a request.
func (f *Forwarder) recordCrash(c *call, worker *registrar.Worker) {
	if !f.dependencies.Crashed(worker) {
		return
	}
	suspicion := Suspicion{Fingerprint: c.fingerprint, Worker: worker.ID, Incarnation: worker.Incarnation}
	if !f.crashRecords.add(time.Now(), suspicion) {
		return
	}
	log.Info().Str("request", c.ID).Str("worker", worker.ID).Int64("born", worker.Incarnation).Str("fingerprint", c.fingerprint).Msg("request was running at a worker that crashed")
	f.crashRecords.mu.Lock()
	defer f.crashRecords.mu.Unlock()
	f.crashRecords.unsent = append(f.crashRecords.unsent, suspicion)
}
