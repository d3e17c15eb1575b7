package claimer

import (
	"errors"
	"flag"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/platformstandin"
)

var seeds = flag.Int("seeds", 40, "number of seeds for TestRandomisedClaims")

func newPlatform() *platformstandin.Platform {
	return platformstandin.New(platformstandin.Settings{Rate: 12, Parallel: 4, Transit: 32})
}

// callLog records how often each key ran, and how many callers got a recorded response.
type callLog struct {
	mu sync.Mutex
	// runs counts the runs of each key; responses holds the response of the last run.
	runs      map[string]int
	responses map[string]string
	// replayed counts the callers that got the recorded response of another attempt.
	replayed int
}

// request handles one caller's request at a node: it claims the key, runs the
// request and records the outcome. The run fails at random.
func (c *callLog) request(g *gomega.WithT, node *Claimer, random *rand.Rand, key, attempt string) {
	deadline := time.Now().Add(3 * time.Second)
	claim, err := node.Acquire(Key{Tenant: "t", Route: "r", Key: key}, attempt, "same", time.Now().Add(time.Hour), deadline)
	var unresolved *UnresolvedError
	if taken := AsTaken(err); taken != nil {
		if taken.Response() != nil {
			c.mu.Lock()
			defer c.mu.Unlock()
			g.Expect(string(taken.Response().Body)).To(gomega.Equal(c.responses[key]))
			c.replayed++
		}
		return
	}
	if errors.As(err, &unresolved) {
		return
	}
	g.Expect(err).NotTo(gomega.HaveOccurred())
	switch random.Intn(4) {
	case 0: // The endpoint rejects the request without running it.
		claim.Release(time.Now().Add(time.Second))
	case 1: // The request runs, but the endpoint's response is lost.
		c.run(key, attempt)
		claim.RecordUnknown(time.Now().Add(time.Second))
	default:
		c.run(key, attempt)
		claim.RecordResponse(Response{Status: 200, Body: []byte(attempt)}, time.Now().Add(time.Second))
	}
}

func (c *callLog) run(key, response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
	c.responses[key] = response
}

func TestRandomisedClaims(t *testing.T) {
	for seed := int64(1); seed <= int64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomisedClaims(t, seed) })
		})
	}
}

// randomisedClaims sends requests that share keys through three nodes while the platform
// loses responses to writes, responds late or is unavailable; no key may run twice.
func randomisedClaims(t *testing.T, seed int64) {
	g := gomega.NewWithT(t)
	random := rand.New(rand.NewSource(seed))
	platform := newPlatform()
	nodes := []*Claimer{New(platform.DirectClient("a")), New(platform.DirectClient("a")), New(platform.DirectClient("b"))}
	c := &callLog{runs: map[string]int{}, responses: map[string]string{}}
	var group sync.WaitGroup
	for number := range 300 {
		key, attempt, node := fmt.Sprint("key-", random.Intn(40)), fmt.Sprint("attempt-", number), nodes[random.Intn(len(nodes))]
		callRandom := rand.New(rand.NewSource(seed*1000 + int64(number)))
		group.Go(func() { c.request(g, node, callRandom, key, attempt) })
		time.Sleep(time.Duration(random.Intn(60)) * time.Millisecond)
		if random.Intn(20) == 0 {
			platform.SetFaults(platformstandin.Faults{LoseWrites: int64(random.Intn(5)), Outage: random.Intn(3) == 0, SlowMS: int64(random.Intn(400))})
		}
	}
	platform.SetFaults(platformstandin.Faults{})
	group.Wait()
	time.Sleep(time.Minute)
	for key, runs := range c.runs {
		g.Expect(runs).To(gomega.Equal(1), "key %s ran %d times", key, runs)
	}
	g.Expect(c.replayed).To(gomega.BeNumerically(">", 0))
}

func TestSweepDeletesOnlyExpiredClaims(t *testing.T) {
	g := gomega.NewWithT(t)
	platform := newPlatform()
	node := New(platform.DirectClient("a"))
	deadline := time.Now().Add(time.Minute)
	expired, kept := Key{"t", "r", "expired"}, Key{"t", "r", "kept"}
	_, err := node.Acquire(expired, "1", "f", time.Now().Add(-time.Hour), deadline)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = node.Acquire(kept, "2", "f", time.Now().Add(time.Hour), deadline)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	total := 0
	for shard := range ShardCount {
		swept, err := node.Sweep(shard, time.Now())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		total += swept
	}
	g.Expect(total).To(gomega.Equal(1))
	_, err = node.Acquire(kept, "3", "f", time.Now().Add(time.Hour), deadline)
	g.Expect(AsTaken(err)).NotTo(gomega.BeNil())
	_, err = node.Acquire(expired, "4", "f", time.Now().Add(time.Hour), deadline)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
