package soaker

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// minAnsweredShare is the minimum share of the attempts sent later than recoveryTime after the last fault
// that must get a response with status 200.
const minAnsweredShare = 0.6

// check returns the guarantees that the callers saw breached.
func (c *callers) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	breaches := append([]string(nil), c.breaches...)
	answered, sent := 0, 0
	for _, a := range c.attempts {
		if breach := c.breachOf(a); breach != "" {
			breaches = append(breaches, fmt.Sprintf("%s (attempt %s at node %s, %s, sent %.1f s after the first)", breach, a.id, a.node.name, a.kind, a.sentAt.Sub(c.attempts[0].sentAt).Seconds()))
		}
		if a.sentAt.Sub(c.faultsEndedAt) > recoveryTime && !a.mayBeRefused() {
			sent++
			if a.result.Status == http.StatusOK {
				answered++
			}
		}
	}
	if sent > 0 && float64(answered) < minAnsweredShare*float64(sent) {
		breaches = append(breaches, fmt.Sprintf("RECOVER: %d of %d attempts were answered %s after the last fault", answered, sent, recoveryTime))
	}
	e := c.environment
	breaches = append(breaches, checkCrashingRequests(e.record, fleetstandin.CauseBody, e.hadNoFault)...)
	breaches = append(breaches, checkCrashingRequests(e.record, fleetstandin.CausePart, e.hadNoFault)...)
	breaches = append(breaches, checkRetries(e.record, c.sentAt())...)
	breaches = append(breaches, e.checkDepartures()...)
	breaches = append(breaches, c.checkTenants()...)
	breaches = append(breaches, e.parts.blamed(e.record.Crashes(fleetstandin.CausePart))...)
	return append(breaches, e.streams.check()...)
}

// breachOf returns the guarantee that was breached for an attempt, or an empty string. Guarantees with a time limit are
// checked only for attempts that no fault affected.
func (c *callers) breachOf(a *attempt) string {
	runs := c.environment.record.Runs(a.id)
	if breach := promiseBreach(a.kind, a.result.Status, runs); breach != "" {
		return breach
	}
	switch {
	case a.result.Status == http.StatusOK && (!a.result.Signed || a.result.AttemptID != a.id || !fleetstandin.IsComplete(a.kind, a.id, a.result.Body)):
		return fmt.Sprintf("MIXED: answer %q is not the worker's whole one", a.result.Body)
	case a.result.Status == http.StatusNotFound:
		return "DENIED: status 404"
	case a.result.RetryAfter != "" && !isDelay(a.result.RetryAfter):
		return fmt.Sprintf("RETRY: Retry-After %q is no time", a.result.RetryAfter)
	case a.credential.readPause == 0 && a.endedAt.Sub(a.sentAt) > requestTimeout+timeoutTolerance && c.environment.wasFaultFree(a.sentAt, a.endedAt):
		return fmt.Sprintf("LATE: its end came after %s", a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
	case a.result.Status == 0 && len(runs) > 0 && a.nodeStopped && c.environment.wasFaultFree(a.sentAt, a.endedAt):
		return fmt.Sprintf("LOST: a planned stop cut it: %v", a.result.Cause)
	}
	return ""
}

// promisingStatuses are the statuses by which a node promises that a request has not run and never will.
var promisingStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// promiseBreach returns the guarantee that was breached for an attempt with the status of its response and the workers that ran it, or an empty string.
func promiseBreach(kind fleetstandin.Kind, status int, runs []string) string {
	switch {
	case kind.MayRetry():
		return ""
	case len(runs) > 1:
		return fmt.Sprintf("TWICE: it ran at %v", runs)
	case lo.Contains(promisingStatuses, status) && len(runs) > 0:
		return fmt.Sprintf("REFUSED: status %d though it ran at %v", status, runs)
	}
	return ""
}

// isDelay reports whether the text is a number of seconds that is not negative.
func isDelay(text string) bool {
	seconds, err := strconv.ParseFloat(text, 64)
	return err == nil && seconds >= 0
}

// endCounts returns the number of attempts by status code; attempts without a response are counted as "broken".
func (c *callers) endCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, a := range c.attempts {
		name := "broken"
		if a.result.Status != 0 {
			name = strconv.Itoa(a.result.Status)
		}
		counts[name]++
	}
	return counts
}

// maxEndedRuns is the number of runs that have ended with their workers after which a crashing request may reach workers at most maxLateArrivals more
// times, counted from faultEffectTime after the last of these ends, sent by nodes that no fault affects. Copies that run beside each other count one by one.
var maxEndedRuns = map[fleetstandin.CrashCause]int{fleetstandin.CauseBody: 3, fleetstandin.CausePart: 5}

const maxLateArrivals = 3

// checkCrashingRequests returns the breach of the guarantee that crashing requests with a cause are no longer sent once they have ended enough workers. The
// function faultFree reports whether no fault affected the nodes at an arrival.
func checkCrashingRequests(record *fleetstandin.Record, cause fleetstandin.CrashCause, faultFree func(time.Time) bool) []string {
	ends := record.EndedRuns(cause)
	if len(ends) < maxEndedRuns[cause] {
		return nil
	}
	since := ends[maxEndedRuns[cause]-1].Add(faultEffectTime)
	late := lo.CountBy(record.Arrivals(cause), func(at time.Time) bool { return at.After(since) && faultFree(at) })
	if late <= maxLateArrivals {
		return nil
	}
	return []string{fmt.Sprintf("CRASH: requests that crash workers (%s), of which %d had ended with them, reached workers %d times later than %s after that; %d runs ended in all, %d workers crashed",
		cause, maxEndedRuns[cause], late, faultEffectTime, len(ends), len(record.Crashes(cause)))}
}
