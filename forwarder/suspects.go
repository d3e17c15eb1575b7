package forwarder

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/isolator"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// maxCrashes is how many crashes a request may be present at before it is refused.
	maxCrashes = 2
	// suspicionTime is how long a crash counts against a request.
	suspicionTime = 2 * time.Minute
)

// Suspicion is a request that was running at a worker that crashed.
type Suspicion struct {
	Fingerprint, Worker string
	Born                int64
}

// suspects counts the crashes at which requests were present.
type suspects struct {
	// mu guards everything below.
	mu sync.Mutex
	// crashes maps fingerprints to the crashed starts of workers, with when each is forgotten.
	crashes map[string]map[Suspicion]time.Time
	// unsent are suspicions that the leaders have not been told of.
	unsent []Suspicion
}

func newSuspects() *suspects {
	return &suspects{crashes: map[string]map[Suspicion]time.Time{}}
}

// add takes in a suspicion and reports whether it is new.
func (s *suspects) add(now time.Time, suspicion Suspicion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.crashes[suspicion.Fingerprint]
	if of == nil {
		of = map[Suspicion]time.Time{}
		s.crashes[suspicion.Fingerprint] = of
	}
	_, known := of[suspicion]
	of[suspicion] = now.Add(suspicionTime)
	return !known
}

// count returns the crashes at which a request was present.
func (s *suspects) count(now time.Time, fingerprint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	of := s.crashes[fingerprint]
	for suspicion, until := range of {
		if now.After(until) {
			delete(of, suspicion)
		}
	}
	if len(of) == 0 {
		delete(s.crashes, fingerprint)
	}
	return len(of)
}

// Suspicions returns and forgets the suspicions that are new here.
func (f *Forwarder) Suspicions() []Suspicion {
	f.suspects.mu.Lock()
	defer f.suspects.mu.Unlock()
	unsent := f.suspects.unsent
	f.suspects.unsent = nil
	return unsent
}

// Suspect takes in a suspicion of another node.
func (f *Forwarder) Suspect(suspicion Suspicion) { f.suspects.add(time.Now(), suspicion) }

// checkSuspect refuses a request that was present at too many crashes.
func (f *Forwarder) checkSuspect(c *call) error {
	c.fingerprint = isolator.Fingerprint(c.Method+" "+c.Host+c.Target, c.Body)
	if f.suspects.count(time.Now(), c.fingerprint) >= maxCrashes {
		return newRefusal("crashes_workers", "this request was running at workers that crashed", suspicionTime)
	}
	return nil
}

// afterBreak finds out whether a worker crashed while it ran a request.
func (f *Forwarder) afterBreak(c *call, w *registrar.Worker) {
	if !f.parts.Crashed(w) {
		return
	}
	suspicion := Suspicion{Fingerprint: c.fingerprint, Worker: w.ID, Born: w.Born}
	if !f.suspects.add(time.Now(), suspicion) {
		return
	}
	log.Info().Str("request", c.ID).Str("worker", w.ID).Int64("born", w.Born).Str("fingerprint", c.fingerprint).Msg("request was running at a worker that crashed")
	f.suspects.mu.Lock()
	defer f.suspects.mu.Unlock()
	f.suspects.unsent = append(f.suspects.unsent, suspicion)
}
