package crashkeeper_test

import (
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
)

// verdictScript is one script of testdata/verdicts.json or testdata/trials.json.
type verdictScript struct {
	Name  string
	Steps []struct {
		Do, Worker string
		// Requests and Request hold fingerprints, separated by blanks.
		Requests []string
		Request  string
		Seconds  int
		Refused  bool
		// Granted is set if a trial may begin, Alone if the store is known to be away.
		Granted, Alone bool
	}
}

// Guards against a prompt part that crashes workers being sent on, and against sound requests that ran beside it being refused.
var _ = ginkgo.Describe("verdicts on requests", func() { playVerdicts("testdata/verdicts.json") })

// Guards against a fingerprint that is blamed wrongly being refused for as long as it is asked for, since nothing is sent that could clear it,
// and against more trials of one that does crash workers than the platform allows.
var _ = ginkgo.Describe("trials of blamed requests", func() { playVerdicts("testdata/trials.json") })

// playVerdicts adds a spec for each script of a file.
func playVerdicts(file string) {
	var scripts []verdictScript
	gomega.Expect(casereader.Read(file, &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			table := &fakeRows{values: map[string]string{}, lateWrites: map[string]string{}}
			now := time.Now()
			processes := 0
			start := func() *crashkeeper.Keeper {
				processes++
				keeper := crashkeeper.New(fmt.Sprint("n", processes), table.rows(), func(string) {})
				keeper.ApplyRows(now, table.list(), true)
				keeper.Run()
				ginkgo.DeferCleanup(keeper.Stop)
				return keeper
			}
			first, second := start(), start()
			keeper, other := first, second
			var trial *crashkeeper.Trial
			var copied map[string]string
			for i, step := range script.Steps {
				switch step.Do {
				case "crash":
					for _, request := range step.Requests {
						keeper.Arrived(strings.Fields(request))
						keeper.Report(now, crashkeeper.Crash{Worker: step.Worker, FoundAt: now}, strings.Fields(request), now.Add(-time.Millisecond))
					}
				case "answer":
					keeper.Arrived(strings.Fields(step.Request))
					keeper.Answered(now, "r", strings.Fields(step.Request))
				case "wait":
					now = now.Add(time.Duration(step.Seconds) * time.Second)
				case "restart":
					time.Sleep(50 * time.Millisecond) // Until the writer has written.
					keeper = start()
				case "other", "back":
					keeper, other = other, keeper
					news, _ := other.Since(now, 0, true)
					for _, crash := range news {
						keeper.Learn(now, crash, "test")
					}
				case "try":
					verdict := keeper.Check(now, strings.Fields(step.Request))
					var err error
					trial, err = keeper.RegisterTrial(now, time.Now().Add(30*time.Millisecond), "r", verdict.Blamed, step.Alone)
					gomega.Expect(verdict.Refused && trial != nil).To(gomega.Equal(step.Granted), fmt.Sprintf("step %d: %s, %+v, %v", i, step.Request, verdict, err))
				case "withdraw":
					keeper.Withdraw(now, trial)
				case "peer":
					keeper, other = other, keeper
				case "redate":
					for _, fingerprint := range strings.Fields(step.Request) {
						keeper.Learn(now, crashkeeper.Crash{Fingerprint: fingerprint, Worker: step.Worker, FoundAt: now}, "test")
					}
				case "down", "up":
					table.update(func() { table.down = step.Do == "down" })
				case "copy":
					time.Sleep(50 * time.Millisecond) // Until the writer has written.
					table.update(func() { copied = maps.Clone(table.values) })
				case "restore":
					table.update(func() { table.values = maps.Clone(copied) })
					keeper.NotifyRestored()
					keeper.ApplyRows(now, table.list(), true)
				case "check":
					verdict := keeper.Check(now, strings.Fields(step.Request))
					gomega.Expect(verdict.Refused).To(gomega.Equal(step.Refused), fmt.Sprintf("step %d: %s, %+v", i, step.Request, verdict))
				}
			}
		})
	}
}
