package quarantiner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// trialScript is one script of testdata/trials.json.
type trialScript struct {
	Name  string
	Steps []string
}

// TestTrials guards against a request that was quarantined wrongly being refused although it runs, and against more trials of one that does crash
// workers.
func TestTrials(t *testing.T) {
	var scripts []trialScript
	if err := casereader.Read("testdata/trials.json", &scripts); err != nil {
		t.Fatal(err)
	}
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			now, leader, node := time.Unix(1000, 0), New(), New()
			for i, step := range script.Steps {
				verb, argument, _ := strings.Cut(step, " ")
				if problem := playStep(&now, &leader, &node, verb, argument); problem != "" {
					t.Fatalf("step %d, %s: %s", i, step, problem)
				}
			}
		})
	}
}

const tried = "the request"

// playStep plays one step and returns what differs from its expectation.
func playStep(now *time.Time, leader, node **Quarantiner, verb, argument string) string {
	workers := []string{"w1", "w2", "w3", "w4"}
	switch verb {
	case "crash":
		(*leader).RecordCrash(*now, argument, []string{tried}, workers)
	case "wait":
		seconds, err := time.ParseDuration(argument + "s")
		if err != nil {
			return err.Error()
		}
		*now = now.Add(seconds)
	case "complete":
		(*leader).Clear(*now, tried)
	case "spread":
		spread(*now, *leader, *node)
	case "return":
		spread(*now, *node, *leader)
	case "lead":
		*leader, *node = *node, *leader
	case "try":
		verdict := (*leader).Try(*now, tried, workers)
		got := "-"
		if verdict.QuarantinedUntil.IsZero() {
			got = "free"
		}
		if verdict.Suspected {
			got = verdict.Worker
		}
		if got != argument {
			return fmt.Sprintf("%q may run it: %+v", got, verdict)
		}
	case "refused", "accepted":
		if verdict := (*node).Check(*now, tried, workers); verdict.QuarantinedUntil.IsZero() == (verb == "refused") {
			return fmt.Sprintf("%+v", verdict)
		}
	case "again":
		if verdict := (*node).Check(*now, tried, workers); fmt.Sprint(verdict.RetryAt.Sub(*now).Seconds()) != argument {
			return fmt.Sprintf("after %s: %+v", verdict.RetryAt.Sub(*now), verdict)
		}
	default:
		return "unknown verb"
	}
	return ""
}

// spread tells one quarantiner of the quarantines of another.
func spread(now time.Time, from, to *Quarantiner) {
	for fingerprint, until := range from.Quarantined(now) {
		to.AddQuarantine(now, fingerprint, until)
	}
}
