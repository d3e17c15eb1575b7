package quarantiner

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestOneCrashingRequestIsFound runs one crashing request among harmless ones:
// it must be quarantined after exactly two crashes, and no harmless one ever.
func TestOneCrashingRequestIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		quarantiner := New()
		workers := []string{"w1", "w2", "w3", "w4"}[:rapid.IntRange(2, 4).Draw(t, "workers")]
		harmless := rapid.IntRange(0, 8).Draw(t, "harmless")
		all := []string{"crashing"}
		for i := range harmless {
			all = append(all, fmt.Sprint("harmless-", i))
		}
		// All requests are in flight at the first crash; several nodes report it one after the other.
		for _, fingerprint := range rapid.Permutation(all).Draw(t, "order") {
			quarantiner.RecordCrash(now, "w1", []string{fingerprint}, workers)
		}
		crashes := 1
		for round := 0; ; round++ {
			if round > 100 {
				t.Fatal("the crashing request is not quarantined after 100 rounds")
			}
			now = now.Add(100 * time.Millisecond)
			fingerprint := rapid.SampledFrom(all).Draw(t, "next")
			verdict := quarantiner.Check(now, fingerprint, workers)
			if !verdict.QuarantinedUntil.IsZero() {
				if fingerprint != "crashing" {
					t.Fatalf("harmless request %s is quarantined", fingerprint)
				}
				break
			}
			if verdict.Suspected && verdict.Worker == "" {
				continue
			}
			if fingerprint != "crashing" {
				quarantiner.Clear(now, fingerprint)
				continue
			}
			crashes++
			quarantiner.RecordCrash(now, verdict.Worker, []string{fingerprint}, workers)
		}
		if crashes != 2 {
			t.Fatalf("%d workers crashed before the quarantine, want 2", crashes)
		}
		for _, fingerprint := range all[1:] {
			if verdict := quarantiner.Check(now, fingerprint, workers); verdict.Suspected || !verdict.QuarantinedUntil.IsZero() {
				t.Fatalf("harmless request %s is not cleared: %+v", fingerprint, verdict)
			}
		}
	})
}

// TestSuspectsShareNoWorker asserts that no two suspects are assigned the same
// worker, and that a suspect waits when no worker is left for it.
func TestSuspectsShareNoWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	quarantiner := New()
	workers := []string{"w1", "w2", "w3"}
	verdicts := quarantiner.RecordCrash(now, "w1", []string{"a", "b", "c"}, workers)
	seen := map[string]bool{}
	for _, verdict := range verdicts {
		if verdict.Worker == "w1" || verdict.Worker != "" && seen[verdict.Worker] {
			t.Fatalf("suspect %s is assigned to %q, which crashed or belongs to another suspect", verdict.Fingerprint, verdict.Worker)
		}
		seen[verdict.Worker] = true
	}
	if !seen[""] || len(seen) != 3 {
		t.Fatalf("assigned workers are %v; want w2, w3 and one suspect without a worker", seen)
	}
}
