package forwarder

import (
	"net/http"
	"time"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Budget is the retry budget of each service.
type Budget struct {
	// CountRequest counts a request for a service, which adds to its budget.
	CountRequest func(now time.Time, service string)
	// AllowRetry reports whether one more retry is within the budget, and counts it if so. Left is the number of retries that this node may still send.
	AllowRetry func(now time.Time, service string) (allowed bool, left float64)
	// ReturnRetry gives back a retry that AllowRetry has counted and that was not sent.
	ReturnRetry func(now time.Time, service string)
}

// plainState is the state of a call for a service without models.
type plainState struct {
	// pace is the pace that the worker of the last send was known to have when it was chosen, in percent; 0 for none.
	pace float64
	// kept is a failed response that is passed on unless another send brings a better one; nil without one.
	kept *plainResponse
	// hedge says what became of the call's hedged send: "sent", "won", "denied" with the reason, or empty if none was due.
	hedge string
}

// plainResponse is a whole response of a worker of a service without models.
type plainResponse struct {
	*Response
	body []byte
	// held has the space of the body.
	held *bufferer.Holding
	// send is the send that brought it.
	send sendState
}

// sendState is what a call knows of one send.
type sendState struct {
	worker, software string
	number           int
	sentAt           time.Time
	stateAgeMS       int64
	limitPerSecond   float64
	pace             float64
}

// sendState returns what the call knows of its last send.
func (c *call) sendState() sendState {
	return sendState{
		worker: c.worker, software: c.software, number: c.sends, sentAt: c.sentAt, stateAgeMS: c.stateAgeMS, limitPerSecond: c.limitPerSecond, pace: c.pace,
	}
}

// resume makes a send the one that the call's fields tell of.
func (c *call) resume(s sendState) {
	c.worker, c.software, c.sentAt, c.stateAgeMS, c.limitPerSecond, c.pace = s.worker, s.software, s.sentAt, s.stateAgeMS, s.limitPerSecond, s.pace
}

// passOn writes a response to the caller and releases its space.
func (f *Forwarder) passOn(w http.ResponseWriter, c *call, response *plainResponse) {
	defer response.held.Release()
	c.resume(response.send)
	copyHeader(w.Header(), response.Header)
	f.writeHead(w, response.Status)
	_, _ = w.Write(response.body) // A write fails only if the caller left; nothing remains to be done.
}

// failedStatus is the status of responses that may be followed by another send.
const failedStatus = http.StatusInternalServerError

// replaceFailed reports whether a call should be sent to another worker after a response. Then the first failed response is kept.
func (f *Forwarder) replaceFailed(c *call, worker *registrar.Worker, response *plainResponse) bool {
	if response.Status != failedStatus {
		return false
	}
	c.avoidUntil[worker.ID] = time.Now().Add(avoidBroken)
	denied := f.repeatDenial(c)
	if denied == "off" {
		return false
	}
	logger.Info("failed response").Str("request", c.ID).Str("worker", worker.ID).Int("send", response.send.number).Str("denied", denied).
		Int64("left_ms", time.Until(c.deadline).Milliseconds()).Msg("failed response")
	if denied != "" {
		f.dependencies.Recorder.Count("repeats of failed requests denied " + denied)
		return false
	}
	f.dependencies.Recorder.Count("failed requests repeated " + c.service.Name)
	f.keep(c, response)
	return true
}

// keep keeps a failed response, if it is the call's first.
func (f *Forwarder) keep(c *call, response *plainResponse) {
	if c.kept != nil {
		response.held.Release()
		return
	}
	c.kept = response
}

// repeatDenial returns why a call that got a failed response may not be sent once more; empty if it may. The budget is asked last, since asking
// uses it.
func (f *Forwarder) repeatDenial(c *call) string {
	switch now := time.Now(); {
	case !f.dependencies.RepeatFailed || !f.mayRepeat(c):
		return "off"
	case c.ledger.MayHaveRun() >= c.route.MaxAttempts || c.sends >= maxSends:
		return "attempts"
	case c.deadline.Sub(now) < minResendTime+returnReserve:
		return "deadline"
	case f.checkCrashes(c) != nil || len(c.crashVerdict.OnTrial()) > 0:
		return "suspected"
	}
	if _, err := f.choosePlainWorker(c); err != nil {
		return "worker"
	}
	if !f.allowRetry(time.Now(), c) {
		return "budget"
	}
	if !f.chargesRepeat(c) {
		f.returnRetry(time.Now(), c)
		return "allowance"
	}
	return ""
}

// checkRepeat returns the error with which a call ends whose last send did not run, if another send of it may have run and it may not be repeated any
// more: its route may have changed since that was checked.
func (f *Forwarder) checkRepeat(c *call) error {
	if ran := c.ledger.MayHaveRun(); c.kept == nil && c.hedge == "" || ran == 0 || ran < c.route.MaxAttempts && f.mayRepeat(c) {
		return nil
	}
	return newFailure(http.StatusBadGateway, "broken", "an earlier attempt may have run, and the request may not be repeated")
}

// chargesRepeat reports whether the tenant's allowance permits one more send of a call that may have run, and charges it.
func (f *Forwarder) chargesRepeat(c *call) bool { return f.chargeRepeat(f.life, c) == nil }

// bestOf returns the response with which a call ends: the given one, or the kept one if there is none or that failed too.
func (f *Forwarder) bestOf(c *call, response *plainResponse, err error) (*plainResponse, error) {
	switch {
	case c.kept == nil:
		return response, err
	case err == nil && response.Status != failedStatus:
		c.kept.held.Release()
		f.dependencies.Recorder.Count("failed responses replaced " + c.service.Name)
		return response, nil
	case err == nil:
		response.held.Release()
	}
	reason := "the next response failed too"
	if err != nil {
		reason = err.Error()
	}
	logger.Info("failed response passed on").Str("request", c.ID).Int("sends", c.sends).Str("why", clip(reason)).Msg("failed response passed on")
	return c.kept, nil
}
