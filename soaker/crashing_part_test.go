package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against requests that differ in all but one prompt part and crash each worker being sent on, and against sound requests that share their
// other parts being refused with them.
var _ = ginkgo.Describe("requests with a prompt part that crashes workers", func() {
	ginkgo.It("with a crashing part are no longer sent, also after kills, while those with the other parts are", func() {
		partsAndRacks.expectKept("testdata/crashing_parts.json")
	})
})

const (
	// minPartCrashes is how many workers a script must crash at least; with fewer it shows nothing.
	minPartCrashes = 2
	// From twice faultEffectTime after the crashes on, sound requests begin at least minBeginShare as often as before; that is checked with minSoundAttempts of each.
	minBeginShare    = 0.5
	minSoundAttempts = 20
	// scriptPartPause is the mean pause between two requests with the crashing part in a script.
	scriptPartPause = 150 * time.Millisecond
)

// sendUntil sends requests to random nodes, with a mean pause between them, until the end.
func (l *partLoad) sendUntil(end time.Time, pause time.Duration, random *rand.Rand, send func(*http.Client, *node)) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + timeoutTolerance}
	for time.Now().Before(end) {
		send(client, l.environment.nodes[random.IntN(len(l.environment.nodes))])
		time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
	}
}

// checkScript returns the breaches of the guarantees on a crashing part in a script.
func (l *partLoad) checkScript(record *fleetstandin.Record) []string {
	crashes := record.Crashes(fleetstandin.CausePart)
	if len(crashes) < minPartCrashes {
		return []string{fmt.Sprintf("the script is void: only %d workers were crashed", len(crashes))}
	}
	breaches := checkCrashingRequests(record, fleetstandin.CausePart, func(time.Time) bool { return true })
	l.mu.Lock()
	defer l.mu.Unlock()
	last := crashes[min(len(crashes), partCrashes)-1].Add(2 * faultEffectTime)
	before := lo.Filter(l.attempts, func(a partAttempt, _ int) bool { return a.sentAt.Before(crashes[0].Add(-faultEffectTime / 3)) })
	after := lo.Filter(l.attempts, func(a partAttempt, _ int) bool {
		return a.sentAt.After(last) && a.sentAt.Before(l.crashingUntil) && !a.excused
	})
	if len(before) < minSoundAttempts || len(after) < minSoundAttempts {
		return append(breaches, fmt.Sprintf("the script is void: %d sound requests before the crashes and %d after them", len(before), len(after)))
	}
	if shareBefore, shareAfter := beginShare(before), beginShare(after); shareAfter < minBeginShare*shareBefore {
		blamed := lo.CountBy(after, func(a partAttempt) bool { return a.blamed })
		breaches = append(breaches, fmt.Sprintf("LOST: %.2f of the sound requests began after the crashes, %.2f before; %d of %d were refused for crashes", shareAfter, shareBefore, blamed, len(after)))
	}
	return breaches
}

// beginShare returns the share of requests that began.
func beginShare(attempts []partAttempt) float64 {
	return float64(lo.CountBy(attempts, func(a partAttempt) bool { return a.began })) / float64(len(attempts))
}
