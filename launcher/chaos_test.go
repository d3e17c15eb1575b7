package launcher

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/loadgenerator"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Defaults of the randomised run over real processes. The environment variables
// ACACIA_CHAOS_SEED and ACACIA_CHAOS_SECONDS override them, for example for a longer manual run.
const (
	chaosSeed    = 1
	chaosSeconds = 30
)

// intFromEnvironment returns the fallback if the variable is not set or not a number.
func intFromEnvironment(variable string, fallback int) int {
	number, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return fallback
	}
	return number
}

// chaosRun injects random faults into a set.
type chaosRun struct {
	set    *Set
	random *rand.Rand
}

var _ = ginkgo.Describe("randomised run over processes", func() {
	ginkgo.It("never loses or repeats a request, mixes up responses, overcommits memory or refuses falsely", func() {
		seed, seconds := intFromEnvironment("ACACIA_CHAOS_SEED", chaosSeed), intFromEnvironment("ACACIA_CHAOS_SECONDS", chaosSeconds)
		fmt.Fprintf(ginkgo.GinkgoWriter, "seed %d, %d s\n", seed, seconds)
		set := startQuickStartSet()
		runner := &scenarioRunner{set: set, loadReports: map[string]chan *loadgenerator.Report{}}
		runner.startLoad(step{Label: "load", Rate: 40, Milliseconds: seconds * 1000, Seed: int64(seed)})
		run := &chaosRun{set: set, random: rand.New(rand.NewSource(int64(seed)))}
		end := time.Now().Add(time.Duration(seconds-8) * time.Second)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(500+run.random.Intn(1500)) * time.Millisecond)
			run.injectFault()
		}
		// Killing a node breaks off its callers' requests, so "lost" ends are expected here.
		report := <-runner.loadReports["load"]
		fmt.Fprintf(ginkgo.GinkgoWriter, "ends %v, loads %d\n", report.Ends, report.Loads)
		gomega.Expect(report.RanTwice).To(gomega.BeEmpty())
		gomega.Expect(report.FalselyRefused).To(gomega.BeEmpty())
		gomega.Expect(report.NeverRan).To(gomega.BeEmpty())
		gomega.Expect(report.OvercommittedLoads).To(gomega.BeZero())
		for _, end := range []string{"crossed", "truncated", "late"} {
			gomega.Expect(report.Ends).NotTo(gomega.HaveKey(end))
		}
		gomega.Expect(report.Ends["answered"]).To(gomega.BeNumerically(">", 0))
		for _, node := range set.Nodes() {
			var vars struct {
				Invariants map[string]int `json:"invariants"`
			}
			gomega.Expect(GetJSON(node.operatorAddress, "/debug/vars", &vars)).To(gomega.Succeed())
			gomega.Expect(vars.Invariants).To(gomega.BeEmpty(), "invariants breached at node %s", node.name)
		}
	})
})

func (c *chaosRun) pick(from []*Process) *Process { return from[c.random.Intn(len(from))] }

// injectFault injects one random fault. A fault that lasts is ended after a random time.
func (c *chaosRun) injectFault() {
	switch c.random.Intn(9) {
	case 0:
		node := c.pick(c.set.Nodes())
		c.logf("pause %s", node.name)
		_ = node.Signal(syscall.SIGSTOP)
		c.endLater(5000, func() { _ = node.Signal(syscall.SIGCONT) })
	case 1:
		node := c.pick(c.set.Nodes())
		c.logf("kill and restart %s", node.name)
		_ = node.Signal(syscall.SIGCONT)
		node.Kill()
		gomega.Expect(c.set.Restart(node.name)).To(gomega.Succeed())
	case 2:
		c.setFaults(c.set.Platform(), `{"outage": true}`, `{"outage": false}`, 6000)
	case 3:
		c.setFaults(c.set.Platform(), `{"lose_writes": 3}`, `{"lose_writes": 0}`, 3000)
	case 4:
		c.setFaults(c.pick(c.set.Engines()), `{"freeze": true}`, `{"freeze": false}`, 3000)
	case 5:
		c.setFaults(c.pick(c.set.Engines()), `{"report_lag_ms": 2000, "lose_orders": 1}`, `{"report_lag_ms": 0, "lose_orders": 0}`, 4000)
	case 6:
		c.setFaults(c.pick(c.set.Registers()), `{"lose_answers": 1}`, `{"lose_answers": 0}`, 3000)
	case 7:
		engine := c.pick(c.set.Engines())
		c.logf("%s leaves", engine.name)
		gomega.Expect(c.set.SetState(engine.name, platformclient.StateLeaving)).To(gomega.Succeed())
		c.endLater(4000, func() { _ = c.set.SetState(engine.name, platformclient.StateLive) })
	case 8:
		c.setFaults(c.set.Platform(), `{"cut_zones": ["zone-a"], "slow_ms": 100}`, `{"cut_zones": [], "slow_ms": 0}`, 5000)
	}
}

func (c *chaosRun) logf(format string, arguments ...any) {
	fmt.Fprintf(ginkgo.GinkgoWriter, "%s %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, arguments...))
}

// endLater calls end after a random time of at least 500 ms and less than 500 ms + maxMS.
func (c *chaosRun) endLater(maxMS int, end func()) {
	time.AfterFunc(time.Duration(500+c.random.Intn(maxMS))*time.Millisecond, end)
}

// setFaults sets the fault switches of a stand-in to on, and to off after a random time. Both are JSON objects.
func (c *chaosRun) setFaults(process *Process, on, off string, maxMS int) {
	c.logf("fault %s %s", process.name, on)
	_ = PutJSON(process.address, "/faults", json.RawMessage(on))
	c.endLater(maxMS, func() { _ = PutJSON(process.address, "/faults", json.RawMessage(off)) })
}
