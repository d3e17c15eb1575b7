package attester_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// step is one event of a script. At is in milliseconds.
type step struct {
	At int64
	// Answer is set if the store answers. Learn are the times since the first and the last answer to another node, in milliseconds.
	Answer bool
	Learn  []int64
	// Settled is whether Learn must report that nothing remains any more.
	Settled bool
	// Remaining is what must remain after the step, in milliseconds.
	Remaining int64
}

// TestEvidence plays the scripts.
//
// Guards against the trouble of one node being taken for an outage of the store, and against an outage being overlooked.
func TestEvidence(t *testing.T) {
	var scripts []struct {
		Name  string
		Steps []step
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/evidence.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			g, now := gomega.NewWithT(t), time.Unix(1000, 0)
			evidence := attester.New(func() time.Time { return now })
			for _, next := range script.Steps {
				now = time.Unix(1000, 0).Add(time.Duration(next.At) * time.Millisecond)
				if next.Answer {
					evidence.RecordAnswer()
				}
				if len(next.Learn) == 2 {
					settled := evidence.Learn(time.Duration(next.Learn[0])*time.Millisecond, time.Duration(next.Learn[1])*time.Millisecond)
					g.Expect(settled).To(gomega.Equal(next.Settled), "after %d ms", next.At)
				}
				g.Expect(evidence.Remaining().Milliseconds()).To(gomega.Equal(next.Remaining), "after %d ms", next.At)
			}
		})
	}
}

// TestAnswered checks that the channel is closed by the next answer to this node, and not by what others say.
func TestAnswered(t *testing.T) {
	g := gomega.NewWithT(t)
	evidence := attester.New(time.Now)
	evidence.RecordAnswer()
	answered := evidence.Answered()
	evidence.Learn(time.Second, 0)
	g.Expect(answered).NotTo(gomega.BeClosed())
	evidence.RecordAnswer()
	g.Expect(answered).To(gomega.BeClosed())
}

// TestExchange checks that another node learns from Evidence what this one knows, and at most of the last minute.
func TestExchange(t *testing.T) {
	g, now := gomega.NewWithT(t), time.Unix(1000, 0)
	clock := func() time.Time { return now }
	known := attester.New(clock)
	for range 90 {
		now = now.Add(time.Second)
		known.RecordAnswer()
	}
	now = now.Add(500 * time.Millisecond)
	sinceFirst, sinceLast := known.Evidence()
	g.Expect([]time.Duration{sinceFirst, sinceLast}).To(gomega.Equal([]time.Duration{time.Minute, 500 * time.Millisecond}))

	cut := attester.New(clock)
	now = now.Add(10 * time.Second)
	for range 10 {
		known.RecordAnswer()
		cut.RecordAnswer()
		now = now.Add(100 * time.Millisecond)
	}
	g.Expect(cut.Remaining()).To(gomega.Equal(time.Second))
	g.Expect(known.Remaining()).To(gomega.Equal(time.Second), "its answers had a gap of ten seconds")
}
