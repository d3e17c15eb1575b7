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

// Defaults of the randomised run over real processes; ACACIA_CHAOS_SEED and
// ACACIA_CHAOS_SECONDS replace them for longer runs by hand.
const (
	chaosSeed    = 1
	chaosSeconds = 30
)

func numberFrom(variable string, fallback int) int {
	number, err := strconv.Atoi(os.Getenv(variable))
	if err != nil {
		return fallback
	}
	return number
}

// chaosRun draws faults for a running set.
type chaosRun struct {
	set    *Set
	random *rand.Rand
}

var _ = ginkgo.Describe("randomised run over processes", func() {
	ginkgo.It("loses, doubles, crosses, overcommits and falsely refuses nothing", func() {
		seed, seconds := numberFrom("ACACIA_CHAOS_SEED", chaosSeed), numberFrom("ACACIA_CHAOS_SECONDS", chaosSeconds)
		fmt.Fprintf(ginkgo.GinkgoWriter, "seed %d, %d s\n", seed, seconds)
		set := startQuick()
		p := &player{set: set, loads: map[string]chan *loadgenerator.Report{}}
		p.startLoad(step{As: "load", Rate: 40, MS: seconds * 1000, Seed: int64(seed)})
		run := &chaosRun{set: set, random: rand.New(rand.NewSource(int64(seed)))}
		end := time.Now().Add(time.Duration(seconds-8) * time.Second)
		for time.Now().Before(end) {
			time.Sleep(time.Duration(500+run.random.Intn(1500)) * time.Millisecond)
			run.step()
		}
		// A killed node cuts its callers off, which is no planned stop; such ends are not lost answers.
		report := <-p.loads["load"]
		fmt.Fprintf(ginkgo.GinkgoWriter, "ends %v, loads %d\n", report.Ends, report.Loads)
		gomega.Expect(report.Doubled).To(gomega.BeEmpty())
		gomega.Expect(report.FalselyRefused).To(gomega.BeEmpty())
		gomega.Expect(report.NeverRan).To(gomega.BeEmpty())
		gomega.Expect(report.Overcommits).To(gomega.BeZero())
		for _, end := range []string{"crossed", "truncated", "late"} {
			gomega.Expect(report.Ends).NotTo(gomega.HaveKey(end))
		}
		gomega.Expect(report.Ends["answered"]).To(gomega.BeNumerically(">", 0))
		for _, node := range set.Nodes() {
			var vars struct {
				Invariants map[string]int `json:"invariants"`
			}
			gomega.Expect(Get(node.operators, "/debug/vars", &vars)).To(gomega.Succeed())
			gomega.Expect(vars.Invariants).To(gomega.BeEmpty(), "invariants breached at %s", node.name)
		}
	})
})

func (c *chaosRun) pick(from []*Process) *Process { return from[c.random.Intn(len(from))] }

// step draws one fault and its end.
func (c *chaosRun) step() {
	switch c.random.Intn(9) {
	case 0:
		node := c.pick(c.set.Nodes())
		c.note("pause %s", node.name)
		_ = node.Signal(syscall.SIGSTOP)
		c.after(5000, func() { _ = node.Signal(syscall.SIGCONT) })
	case 1:
		node := c.pick(c.set.Nodes())
		c.note("kill and restart %s", node.name)
		_ = node.Signal(syscall.SIGCONT)
		node.Kill()
		gomega.Expect(c.set.Restart(node.name)).To(gomega.Succeed())
	case 2:
		c.fault(c.set.Platform(), `{"outage": true}`, `{"outage": false}`, 6000)
	case 3:
		c.fault(c.set.Platform(), `{"lose_writes": 3}`, `{"lose_writes": 0}`, 3000)
	case 4:
		c.fault(c.pick(c.set.Engines()), `{"freeze": true}`, `{"freeze": false}`, 3000)
	case 5:
		c.fault(c.pick(c.set.Engines()), `{"report_lag_ms": 2000, "lose_orders": 1}`, `{"report_lag_ms": 0, "lose_orders": 0}`, 4000)
	case 6:
		c.fault(c.pick(c.set.Registers()), `{"lose_answers": 1}`, `{"lose_answers": 0}`, 3000)
	case 7:
		engine := c.pick(c.set.Engines())
		c.note("%s leaves", engine.name)
		gomega.Expect(c.set.SetState(engine.name, platformclient.StateLeaves)).To(gomega.Succeed())
		c.after(4000, func() { _ = c.set.SetState(engine.name, platformclient.StateLive) })
	case 8:
		c.fault(c.set.Platform(), `{"cut_zones": ["zone-a"], "slow_ms": 100}`, `{"cut_zones": [], "slow_ms": 0}`, 5000)
	}
}

func (c *chaosRun) note(format string, arguments ...any) {
	fmt.Fprintf(ginkgo.GinkgoWriter, "%s %s\n", time.Now().Format("05.000"), fmt.Sprintf(format, arguments...))
}

func (c *chaosRun) after(mostMS int, end func()) {
	time.AfterFunc(time.Duration(500+c.random.Intn(mostMS))*time.Millisecond, end)
}

// fault sets a process's switches and sets them back later.
func (c *chaosRun) fault(process *Process, on, off string, mostMS int) {
	c.note("fault %s %s", process.name, on)
	_ = Put(process.address, "/faults", json.RawMessage(on))
	c.after(mostMS, func() { _ = Put(process.address, "/faults", json.RawMessage(off)) })
}
