package fleetleader

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// deliveryScript is one entry of testdata/deliveries.json.
type deliveryScript struct {
	Name  string
	Order Order
	Steps []struct {
		AtMS, BegunMS, NextMS    int
		Begin, Open              bool
		End                      string
		Unwritten, Ended, Counts bool
		// Awaited is set if another attempt has been written and not ended.
		Awaited    bool
		Report     *Report
		Verdict    string
		AcceptedMS *int
	}
}

// Guards against orders that are counted twice or not at all, and against reports that prove more than they show.
func TestDeliveries(t *testing.T) {
	var scripts []deliveryScript
	if err := casereader.Read("testdata/deliveries.json", &scripts); err != nil {
		t.Fatal(err)
	}
	outcomes := map[string]Outcome{}
	for outcome := OutcomeUnknown; outcome <= OutcomeRefused; outcome++ {
		outcomes[outcome.String()] = outcome
	}
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, s := range scripts {
		t.Run(s.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			d := newDelivery(s.Order)
			d.follow(5, 1)
			d.beginSeries(start)
			for i, step := range s.Steps {
				now := at(step.AtMS)
				switch {
				case step.Begin:
					d.beginAttempt(now)
					next := time.Time{}
					if step.NextMS >= 0 {
						next = at(step.NextMS)
					}
					g.Expect(d.nextAt).To(gomega.Equal(next), "step %d", i)
				case step.Open:
					d.addUnanswered(at(step.BegunMS))
					d.receive(now, OutcomeConflict)
				case step.Report != nil:
					g.Expect(d.judge(now, *step.Report).String()).To(gomega.Equal(step.Verdict), "step %d", i)
				default:
					outcome := outcomes[step.End]
					g.Expect(d.endAttempt(outcome, !step.Unwritten, at(step.BegunMS), step.Awaited)).To(gomega.Equal(step.Ended), "step %d", i)
					g.Expect(d.receive(now, outcome)).To(gomega.Equal(step.Counts), "step %d", i)
				}
				if step.AcceptedMS != nil {
					g.Expect(d.acceptedAt).To(gomega.Equal(at(*step.AcceptedMS)), "step %d", i)
				}
			}
		})
	}
}
