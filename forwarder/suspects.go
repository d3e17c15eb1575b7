package forwarder

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/crashreporter"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

const (
	// maxSharedParts bounds the parts of one prompt that may be found to crash workers; further ones are not looked at.
	maxSharedParts = 64
	// begunEvents is the number of events from which on a worker has gone on after the beginning of a response. A part that crashes workers does so when the
	// response begins, so that this speaks for all parts of the prompt.
	begunEvents = 2
)

// setFingerprints sets what identifies the call's content and the parts that its prompt may share with others, which are all but the last.
func (c *call) setFingerprints() {
	c.fingerprint = crashreporter.Fingerprint(c.Method+" "+c.Host+c.Target, c.Body)
	shared := c.PromptParts[:min(max(len(c.PromptParts)-1, 0), maxSharedParts)]
	c.sharedParts = lo.Map(shared, func(part PromptPart, _ int) string { return part.ID })
	c.fingerprints = append([]string{c.fingerprint}, partFingerprints(c.sharedParts)...)
}

func partFingerprints(parts []string) []string {
	return lo.Map(parts, func(id string, _ int) string { return crashkeeper.PartFingerprint(id) })
}

// checkCrashes returns the error with which a call ends if its request, or a part of its prompt, was running at workers that crashed and is
// likely to be the cause, unless it is the one that goes on to be sent on trial. It must be called before each send, since other nodes find
// crashes while a request waits.
func (f *Forwarder) checkCrashes(c *call) error {
	verdict := f.dependencies.Crashes.Check(time.Now(), c.fingerprints)
	if !verdict.Equal(c.crashVerdict) {
		logger.Info("request checked for crashes").Str("request", c.ID).Str("fingerprint", verdict.Fingerprint).Int("crashes", verdict.Crashes).Bool("tied", verdict.Tied).
			Int("sends", c.sends).Int64("after_ms", time.Since(c.arrived).Milliseconds()).Bool("refused", verdict.Refused).Strs("suspects", verdict.Suspects).
			Strs("blamed", verdict.Blamed).Int64("span_ms", verdict.LastAt.Sub(verdict.FirstAt).Milliseconds()).
			Bool("answered", verdict.Answered).Time("trial_at", verdict.TrialAt).Msg("request checked for crashes")
	}
	c.crashVerdict = verdict
	if !verdict.Refused {
		f.clearing.release(c)
		return nil
	}
	if f.mayClear(time.Now(), c) {
		return nil
	}
	return c.refuseCrashes()
}

// refuseCrashes returns the error with which a call ends if its crashVerdict is that it must not be sent.
func (c *call) refuseCrashes() error {
	if !c.crashVerdict.Refused {
		return nil
	}
	const message = "this request or a part of its prompt was running at workers that crashed"
	if c.ledger.MayHaveRun() > 0 {
		return newFailure(http.StatusBadGateway, "crashes_workers", message)
	}
	return c.refuse("crashes_workers", message, c.clearedIn(time.Now()))
}

// recordEvents counts events of the response to a call. Once the worker has gone on after the first, it speaks for the shared parts of the prompt.
func (f *Forwarder) recordEvents(c *call, worker *registrar.Worker, count int) {
	now := time.Now()
	f.recordOrigin(now, c, worker)
	if c.events == 0 {
		c.firstEventAt = now
		f.dependencies.Crashes.Began(now, c.fingerprints[1:])
	}
	if c.events < begunEvents && c.events+count >= begunEvents {
		c.partsAnswered = true
		f.dependencies.Crashes.Answered(now, c.ID, c.fingerprints[1:])
	}
	c.events, c.lastEventAt = c.events+count, now
}

// recordAnswer records that a worker has responded to a call to the end.
func (f *Forwarder) recordAnswer(c *call) {
	f.dependencies.Crashes.Answered(time.Now(), c.ID, c.fingerprints)
}

// recordCrash records the crash if a worker crashed while it ran a request, and reports whether it did. It watches the send if the worker's address still
// answers.
func (f *Forwarder) recordCrash(c *call, worker *registrar.Worker) (crashed bool) {
	if crashed, why := f.seemsCrashed(worker); !crashed {
		f.logNoCrash(c, worker, why)
		f.watchBrokenSend(c, worker, true)
		return false
	}
	f.reportCrash(newBrokenSend(c, worker))
	return true
}

// logNoCrash logs why a broken send does not count as a crash of its worker.
func (f *Forwarder) logNoCrash(c *call, worker *registrar.Worker, why string) {
	logger.Info("send broke without a crash").Str("request", c.ID).Str("fingerprint", c.fingerprint).Str("worker", worker.ID).Int64("born", worker.Incarnation).
		Str("why", why).Msg("send broke without a crash")
}
