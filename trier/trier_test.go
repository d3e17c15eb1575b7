package trier_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/trier"
)

func TestTrier(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "trier")
}

// trialScript is one script of testdata/trials.json.
type trialScript struct {
	Name  string
	Steps []struct {
		Do, Request, Node string
		// Fingerprints are separated by blanks.
		Fingerprints string
		Milliseconds int
		Granted      bool
	}
}

// Guards against two requests with one suspected fingerprint being at workers beside each other.
var _ = ginkgo.Describe("a leader", func() {
	var scripts []trialScript
	gomega.Expect(casereader.Read("testdata/trials.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			arbiter, epoch, now := trier.NewArbiter(), int64(1), time.Unix(9000, 0)
			for i, step := range script.Steps {
				trial := trier.Trial{Request: step.Request, Node: step.Node, Fingerprints: strings.Fields(step.Fingerprints), Until: now.Add(time.Duration(step.Milliseconds) * time.Millisecond)}
				switch step.Do {
				case "begin":
					gomega.Expect(arbiter.Begin(now, epoch, trial)).To(gomega.Equal(step.Granted), fmt.Sprintf("step %d", i))
				case "end":
					arbiter.End(now, trial, trial.Until)
				case "wait":
					now = now.Add(time.Duration(step.Milliseconds) * time.Millisecond)
				case "lead":
					epoch++
				}
			}
		})
	}

	ginkgo.It("keeps a bounded number of trials, and lets others wait", func() {
		arbiter, now := trier.NewArbiter(), time.Unix(9000, 0)
		granted := 0
		for i := range 20_000 {
			trial := trier.Trial{Request: fmt.Sprint("r", i), Node: "n", Fingerprints: []string{fmt.Sprint("f", i)}, Until: now.Add(time.Hour)}
			if arbiter.Begin(now, 1, trial) {
				granted++
			}
		}
		gomega.Expect(granted).To(gomega.Equal(10_000))
		gomega.Expect(arbiter.Begin(now.Add(trier.MaxDuration), 1, trier.Trial{Request: "r", Node: "n", Fingerprints: []string{"f"}, Until: now.Add(time.Hour)})).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("a node", func() {
	until := func() time.Time { return time.Now().Add(time.Minute) }
	newTrier := func(node string, nodes int, err *error, asked *int) *trier.Trier {
		return trier.New(node, func() int { return nodes }, trier.Arbitration{
			Begin: func(time.Time, trier.Trial) (bool, error) { *asked++; return *err == nil, *err },
			End:   func(time.Time, trier.Trial, time.Time) error { return *err },
		}, func(string) {})
	}

	ginkgo.It("sends one request with a suspected fingerprint at a time and asks the leader for no others meanwhile", func() {
		var failure error
		asked := 0
		node := newTrier("n", 8, &failure, &asked)
		trial, begun := node.Begin("r1", []string{"f", "g"}, until(), false)
		gomega.Expect(begun).To(gomega.BeTrue())
		_, begun = node.Begin("r2", []string{"g"}, until(), false)
		gomega.Expect(begun).To(gomega.BeFalse())
		_, begun = node.Begin("r3", []string{"h"}, until(), false)
		gomega.Expect(begun).To(gomega.BeTrue())
		node.End(trial, time.Now())
		_, begun = node.Begin("r2", []string{"g"}, until(), false)
		gomega.Expect(begun).To(gomega.BeTrue())
		gomega.Expect(asked).To(gomega.Equal(3))
	})

	ginkgo.It("sends a request without suspected fingerprints at once", func() {
		failure, asked := errors.New("no leader"), 0
		trial, begun := newTrier("n", 8, &failure, &asked).Begin("r", nil, until(), false)
		gomega.Expect(begun).To(gomega.BeTrue())
		gomega.Expect(trial).To(gomega.BeNil())
		gomega.Expect(asked).To(gomega.BeZero())
	})

	ginkgo.It("that reaches no leader sends few requests, together with all others", func() {
		failure := errors.New("no leader")
		begunNodes := 0
		for i := range 400 {
			asked := 0
			if _, begun := newTrier(fmt.Sprint("n", i), 400, &failure, &asked).Begin("r", []string{"f"}, until(), false); begun {
				begunNodes++
			}
		}
		gomega.Expect(begunNodes).To(gomega.BeNumerically("<=", 3))
	})

	ginkgo.It("that reaches no leader still sends one after some time, alone", func() {
		failure, asked := errors.New("no leader"), 0
		node := newTrier("n", 1, &failure, &asked)
		gomega.Eventually(func() bool {
			_, begun := node.Begin("r", []string{"f"}, until(), false)
			return begun
		}, 4*time.Second, 50*time.Millisecond).Should(gomega.BeTrue())
	})
})
