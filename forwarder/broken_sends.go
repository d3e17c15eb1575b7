package forwarder

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// crashShownWithin is the time from a crash until the list of workers shows it at the latest: entries are removed after three heartbeats of
	// silence, and the list is read once in 0.6 s.
	crashShownWithin = 4500 * time.Millisecond
	// listPollInterval is the time between two looks at the list of workers while there are broken sends.
	listPollInterval = 200 * time.Millisecond
	// maxBrokenSends bounds the memory; further sends are not watched.
	maxBrokenSends = 2000
)

// brokenSend is a send that broke while its request may have been running.
type brokenSend struct {
	// request is the caller's attempt. Fingerprint identifies the request's content, sharedParts are the IDs of the prompt's parts but the last.
	request, fingerprint string
	sharedParts          []string
	worker               *registrar.Worker
	sentAt               time.Time
	// events is the number of events of the response that arrived, firstEventAt when the first did.
	events       int
	firstEventAt time.Time
	// probesAgain is set until the worker's address is probed once more: connections of a process that ends break before its address refuses new ones.
	probesAgain bool
	// watchedUntil is when the list must show the crash, if there was one; zero if the send is not watched.
	watchedUntil time.Time
}

// newBrokenSend returns the last send of a call, which broke.
func newBrokenSend(c *call, worker *registrar.Worker) brokenSend {
	return brokenSend{request: c.ID, fingerprint: c.fingerprint, sharedParts: c.sharedParts, worker: worker, sentAt: c.sentAt, events: c.events, firstEventAt: c.firstEventAt}
}

// brokenSends are the sends of which the list of workers may show later that they met a crash.
type brokenSends struct {
	// mu guards everything below.
	mu    sync.Mutex
	sends []brokenSend
	// polling is set while a goroutine looks at the list.
	polling bool
}

// watchBrokenSend has the crash counted if the list of workers shows that the worker crashed about when the send broke. The worker may be
// back before its address is probed, or may have fallen silent. With probesAgain set, its address is probed at the first look at the list too.
func (f *Forwarder) watchBrokenSend(c *call, worker *registrar.Worker, probesAgain bool) {
	f.broken.mu.Lock()
	defer f.broken.mu.Unlock()
	if len(f.broken.sends) >= maxBrokenSends {
		f.logNoCrash(c, worker, "too many broken sends are watched")
		return
	}
	send := newBrokenSend(c, worker)
	send.watchedUntil, send.probesAgain = time.Now().Add(crashShownWithin), probesAgain
	f.broken.sends = append(f.broken.sends, send)
	if !f.broken.polling {
		f.broken.polling = true
		go f.pollList()
	}
}

// pollList looks at the list of workers until no send is watched.
func (f *Forwarder) pollList() {
	for {
		time.Sleep(listPollInterval)
		now := time.Now()
		f.broken.mu.Lock()
		sends := f.broken.sends
		f.broken.sends = nil
		f.broken.mu.Unlock()
		gone := map[string]bool{}
		watched := lo.FilterMap(sends, func(send brokenSend, _ int) (brokenSend, bool) {
			if f.hasEnded(send.worker, gone) || send.probesAgain && !send.worker.Leaving && f.probe(send.worker, gone) {
				f.reportCrash(send)
				return send, false
			}
			send.probesAgain = false
			return send, now.Before(send.watchedUntil)
		})
		f.broken.mu.Lock()
		f.broken.sends = append(f.broken.sends, watched...)
		f.broken.polling = len(f.broken.sends) > 0
		polling := f.broken.polling
		f.broken.mu.Unlock()
		if !polling {
			return
		}
	}
}

// hasEnded reports whether the list shows that a worker's process has ended without notice: it has restarted, or its entry is gone and
// its address does not answer. Probes of addresses are kept in gone, by the worker's ID.
func (f *Forwarder) hasEnded(worker *registrar.Worker, gone map[string]bool) bool {
	listed, found := f.dependencies.Workers.Fleet().Worker(worker.ID)
	if found {
		return listed.Incarnation != worker.Incarnation
	}
	return !worker.Leaving && f.probe(worker, gone)
}

// probe reports whether a worker seems to have crashed. It is probed once for all sends that keep their probes in gone.
func (f *Forwarder) probe(worker *registrar.Worker, gone map[string]bool) bool {
	if _, probed := gone[worker.ID]; !probed {
		gone[worker.ID], _ = f.seemsCrashed(worker)
	}
	return gone[worker.ID]
}

// maxWitnesses is the number of other workers of which one must answer a probe for a worker that does not to count as crashed.
const maxWitnesses = 3

// seemsCrashed reports whether a worker's address does not answer a probe while that of another worker does, of its zone if there is one: else this node may
// have lost the path to all of them. If they did crash, the list of workers shows it. Why says why the worker does not count as crashed.
func (f *Forwarder) seemsCrashed(worker *registrar.Worker) (crashed bool, why string) {
	if !f.dependencies.Crashed(worker) {
		return false, "worker reachable"
	}
	others := lo.Filter(f.dependencies.Workers.Fleet().All(), func(other *registrar.Worker, _ int) bool { return other.ID != worker.ID && !other.Leaving })
	near := lo.Filter(others, func(other *registrar.Worker, _ int) bool { return other.Zone == worker.Zone })
	if len(near) > 0 {
		others = near
	}
	others = lo.Samples(others, maxWitnesses)
	if len(others) == 0 {
		return true, ""
	}
	answers := make(chan bool, len(others))
	for _, other := range others {
		go func() { answers <- !f.dependencies.Crashed(other) }()
	}
	for range others {
		if <-answers {
			return true, ""
		}
	}
	return false, "no other worker answers either"
}

// reportCrash records that a worker crashed while it ran a request.
func (f *Forwarder) reportCrash(send brokenSend) {
	now := time.Now()
	eventAge := int64(-1)
	if send.events > 0 {
		eventAge = now.Sub(send.firstEventAt).Milliseconds()
	}
	fingerprints := []string{send.fingerprint}
	if send.events < begunEvents {
		fingerprints = append(fingerprints, partFingerprints(send.sharedParts)...)
	}
	crash := crashkeeper.Crash{Worker: send.worker.ID, Incarnation: send.worker.Incarnation, FoundAt: now}
	isNew, crashes := f.dependencies.Crashes.Report(now, crash, fingerprints, send.sentAt)
	logger.Info("request was running at a worker that crashed").Str("request", send.request).Str("worker", send.worker.ID).Int64("born", send.worker.Incarnation).
		Str("fingerprint", send.fingerprint).Strs("parts", send.sharedParts).Int64("sent_ms", now.Sub(send.sentAt).Milliseconds()).Int64("first_event_ms", eventAge).Int("events", send.events).
		Bool("new", isNew).Int("crashes", crashes).Msg("request was running at a worker that crashed")
}
