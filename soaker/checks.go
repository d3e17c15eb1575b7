package soaker

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// servedShare is the least share of attempts that must be answered once callers must be served again.
const servedShare = 0.6

// check returns the promises that the callers saw broken.
func (c *callers) check() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken := append([]string(nil), c.broken...)
	served, late := 0, 0
	for _, a := range c.attempts {
		if why := c.breachOf(a); why != "" {
			broken = append(broken, fmt.Sprintf("%s (attempt %s at node %s, %s, sent %.1f s after the first)", why, a.id, a.node.name, a.kind, a.sentAt.Sub(c.attempts[0].sentAt).Seconds()))
		}
		if a.sentAt.Sub(c.calmAt) > recoveryTime {
			late++
			if a.end.Status == http.StatusOK {
				served++
			}
		}
	}
	if late > 0 && float64(served) < servedShare*float64(late) {
		broken = append(broken, fmt.Sprintf("RECOVER: %d of %d attempts were answered %s after the last fault", served, late, recoveryTime))
	}
	return broken
}

// breachOf returns which promise an attempt saw broken, or nothing.
func (c *callers) breachOf(a *attempt) string {
	runs := c.world.record.Runs(a.id)
	refused := a.end.Status == http.StatusServiceUnavailable || a.end.Status == http.StatusTooManyRequests
	switch {
	case a.end.Status == http.StatusOK && (!a.end.Signed || a.end.Echoed != a.id || !fleetstandin.IsWhole(a.kind, a.id, a.end.Body)):
		return fmt.Sprintf("MIXED: answer %q is not the worker's whole one", a.end.Body)
	case len(runs) > 1 && !a.kind.MayRepeat():
		return fmt.Sprintf("TWICE: it ran at %v", runs)
	case refused && len(runs) > 0 && !a.kind.MayRepeat():
		return fmt.Sprintf("REFUSED: status %d though it ran at %v", a.end.Status, runs)
	case a.end.Status == http.StatusNotFound:
		return "DENIED: status 404"
	case a.end.RetryAfter != "" && !isDelay(a.end.RetryAfter):
		return fmt.Sprintf("RETRY: Retry-After %q is no time", a.end.RetryAfter)
	case a.endedAt.Sub(a.sentAt) > patience+answerSlack && c.world.wasCalm(a.sentAt, a.endedAt):
		return fmt.Sprintf("LATE: its end came after %s", a.endedAt.Sub(a.sentAt).Round(time.Millisecond))
	case a.end.Status == 0 && len(runs) > 0 && a.stopped && c.world.wasCalm(a.sentAt, a.endedAt):
		return fmt.Sprintf("LOST: a planned stop cut it: %v", a.end.Cause)
	}
	return ""
}

func isDelay(text string) bool {
	seconds, err := strconv.ParseFloat(text, 64)
	return err == nil && seconds >= 0
}

// counts returns how many attempts ended in which way.
func (c *callers) counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, a := range c.attempts {
		name := "broken"
		if a.end.Status != 0 {
			name = strconv.Itoa(a.end.Status)
		}
		counts[name]++
	}
	return counts
}
