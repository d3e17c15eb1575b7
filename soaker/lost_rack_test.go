package soaker

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against sound requests being refused for good once workers that ran them ended in one moment: nothing was let through that could have
// cleared them.
var _ = ginkgo.Describe("sound requests that ran at workers which ended for another reason", func() {
	ginkgo.It("are served again, also after kills and a restored store", func() {
		partsAndRacks.expectKept("testdata/lost_racks.json")
	})
})

// knownRedRack is the name in KNOWN-RED.txt of sound requests that stay refused after a rack is lost while the store is away.
const knownRedRack = "sound requests refused after a rack is lost while the store is away"

// isKnownRedRack reports whether a breach of a script is that one, and prints it; the Makefile passes the names on.
func isKnownRedRack(breach string) bool {
	known := strings.HasPrefix(breach, "in one moment while the store is away: LOST: ") && strings.HasSuffix(breach, "were refused for crashes") &&
		strings.Contains(os.Getenv("ACACIA_KNOWN_RED"), knownRedRack)
	if known {
		fmt.Println("passed over as known red:", breach)
	}
	return known
}

// rackWait bounds the wait for a moment at which all workers of a rack read prompts.
const rackWait = 8 * time.Second

// loseRack ends some workers of models, at a moment at which each reads a prompt, or one after the other. The words are their number and the seconds
// between two of them.
func (e *environment) loseRack(words []string) error {
	count, err := strconv.Atoi(words[0])
	if err != nil {
		return err
	}
	pause, err := strconv.ParseFloat(words[1], 64)
	if err != nil {
		return err
	}
	rack := lo.Filter(e.endpoints, func(target *endpoint, _ int) bool { return target.service == "models" })[:count]
	reads := func(target *endpoint) bool { return target.current().Reading() > 0 }
	for deadline := time.Now().Add(rackWait); pause == 0 && !lo.EveryBy(rack, reads); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("%d workers did not read prompts in one moment within %s", count, rackWait)
		}
	}
	for _, target := range rack {
		e.crashWorker(target, fleetstandin.CauseRack, rackDowntime, e.models)
		time.Sleep(time.Duration(pause * float64(time.Second)))
	}
	return nil
}

// checkRacks returns the breaches of the guarantees on sound requests after the loss of racks, and on a crashing part beside them.
func (l *partLoad) checkRacks(record *fleetstandin.Record) []string {
	breaches := checkCrashingRequests(record, fleetstandin.CausePart, func(time.Time) bool { return true })
	crashes := record.Crashes(fleetstandin.CauseRack)
	if len(crashes) == 0 {
		return append(breaches, "the script is void: no worker has ended")
	}
	return append(breaches, l.checkServedAgain(crashes[0], crashes[len(crashes)-1].Add(2*faultEffectTime))...)
}

// checkServedAgain returns the breach of the guarantee that sound requests begin from a time on at least minBeginShare as often as before the
// first crash.
func (l *partLoad) checkServedAgain(firstCrash, from time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := lo.Filter(l.attempts, func(a partAttempt, _ int) bool { return a.sentAt.Before(firstCrash.Add(-faultEffectTime / 3)) })
	after := lo.Filter(l.attempts, func(a partAttempt, _ int) bool { return a.sentAt.After(from) && !a.excused })
	if len(before) < minSoundAttempts || len(after) < minSoundAttempts {
		return []string{fmt.Sprintf("the script is void: %d sound requests before the crashes and %d after them", len(before), len(after))}
	}
	if shareBefore, shareAfter := beginShare(before), beginShare(after); shareAfter < minBeginShare*shareBefore {
		blamed := lo.CountBy(after, func(a partAttempt) bool { return a.blamed })
		return []string{fmt.Sprintf("LOST: %.2f of the sound requests began after the crashes, %.2f before; %d of %d were refused for crashes",
			shareAfter, shareBefore, blamed, len(after))}
	}
	return nil
}
