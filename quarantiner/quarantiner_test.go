package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneCrashingRequestIsFound runs one crashing request among innocent ones:
// it is quarantined after two crashes, and no innocent one ever is.
func TestOneCrashingRequestIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		rules := New()
		workers := []string{"w1", "w2", "w3", "w4"}[:rapid.IntRange(2, 4).Draw(t, "workers")]
		neighbours := rapid.IntRange(0, 8).Draw(t, "neighbours")
		all := []string{"poison"}
		for i := range neighbours {
			all = append(all, fmt.Sprint("innocent-", i))
		}
		// The first crash, reported by several nodes one after the other.
		for _, fingerprint := range rapid.Permutation(all).Draw(t, "order") {
			rules.Crash(now, "w1", []string{fingerprint}, workers)
		}
		crashes := 1
		for round := 0; ; round++ {
			if round > 100 {
				t.Fatal("the crashing request was not found")
			}
			now = now.Add(100 * time.Millisecond)
			fingerprint := rapid.SampledFrom(all).Draw(t, "next")
			verdict := rules.Check(now, fingerprint, workers)
			if !verdict.QuarantinedUntil.IsZero() {
				if fingerprint != "poison" {
					t.Fatalf("%s is quarantined", fingerprint)
				}
				break
			}
			if verdict.Suspected && verdict.Worker == "" {
				continue
			}
			if fingerprint != "poison" {
				rules.Clear(fingerprint)
				continue
			}
			crashes++
			rules.Crash(now, verdict.Worker, []string{fingerprint}, workers)
		}
		if crashes != 2 {
			t.Fatalf("%d endpoints crashed, not 2", crashes)
		}
		for _, fingerprint := range all[1:] {
			if verdict := rules.Check(now, fingerprint, workers); verdict.Suspected || !verdict.QuarantinedUntil.IsZero() {
				t.Fatalf("%s is not cleared: %+v", fingerprint, verdict)
			}
		}
	})
}

// TestSuspectsShareNoWorker asserts that two suspects are never assigned the same worker.
func TestSuspectsShareNoWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	rules := New()
	workers := []string{"w1", "w2", "w3"}
	verdicts := rules.Crash(now, "w1", []string{"a", "b", "c"}, workers)
	seen := map[string]bool{}
	for _, verdict := range verdicts {
		if verdict.Worker == "w1" || verdict.Worker != "" && seen[verdict.Worker] {
			t.Fatalf("suspect %s may run at %q", verdict.Fingerprint, verdict.Worker)
		}
		seen[verdict.Worker] = true
	}
	if !seen[""] || len(seen) != 3 {
		t.Fatalf("two suspects get a worker and one waits; got %v", seen)
	}
}
