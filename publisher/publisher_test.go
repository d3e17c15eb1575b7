package publisher

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

	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/platformstandin"
)

var seeds = flag.Int("seeds", 12, "number of seeds for TestRacingOperators")

// configuration returns a configuration whose tenants, by name, have the given weights.
func configuration(weights map[string]int) *configreader.Configuration {
	text := `{"deployments": [{"name": "d", "zones": ["z"], "rate": 1, "parallel": 1}], "tenants": [`
	separator := ""
	for name, weight := range weights {
		text += fmt.Sprintf(`%s{"name": %q, "weight": %d}`, separator, name, weight)
		separator = ","
	}
	parsed, err := configreader.Parse("test", []byte(text+"]}"))
	if err != nil {
		panic(err)
	}
	return parsed
}

func newPlatform() *platformstandin.Platform {
	return platformstandin.New(platformstandin.Settings{Rate: 12, Parallel: 4, Transit: 32})
}

// publishRace holds the state of operators who edit the same tenants at the same time.
type publishRace struct {
	g        *gomega.WithT
	platform *platformstandin.Platform
	random   *rand.Rand
	// mu guards accepted.
	mu sync.Mutex
	// accepted maps each version that Publish returned to its edit, as "tenant=weight".
	accepted map[int64]string
}

// publish publishes one operator's edit of one tenant, based on the version in force.
// Errors are allowed, since the platform fails at random.
func (r *publishRace) publish(operator string, number int, tenant string, weight int) {
	client := r.platform.DirectClient("")
	deadline := time.Now().Add(time.Minute)
	head, _, err := configfollower.ReadHead(deadline, client)
	if err != nil {
		return
	}
	base, err := Load(client, head.Version, deadline)
	if err != nil {
		return
	}
	target, err := base.Configuration().Apply([]configreader.Edit{{
		Kind: configreader.KindTenant, Name: tenant, Body: fmt.Sprintf(`{"name":%q,"weight":%d}`, tenant, weight),
	}})
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	request := Request{ID: fmt.Sprintf("%s-%d", operator, number), Operator: operator, Base: head.Version, Target: target}
	result, err := Publish(client, request, deadline)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		r.g.Expect(conflict.Objects()).To(gomega.ContainElement("tenant " + tenant))
	}
	if err != nil || len(result.Edits) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.g.Expect(r.accepted).NotTo(gomega.HaveKey(result.Version), "two publishes returned the same version")
	r.accepted[result.Version] = fmt.Sprintf("%s=%d", tenant, weight)
}

// watchVersions runs a follower until stop is closed and asserts that its version only
// increases.
func (r *publishRace) watchVersions(stop <-chan struct{}, group *sync.WaitGroup) {
	group.Go(func() {
		last := int64(0)
		node := configfollower.New(r.platform.DirectClient("z"), func(versioned *configfollower.VersionedConfiguration) {
			r.g.Expect(versioned.Version()).To(gomega.BeNumerically(">", last))
			last = versioned.Version()
		})
		for {
			select {
			case <-stop:
				return
			case <-time.After(500 * time.Millisecond):
			}
			if head, _, err := configfollower.ReadHead(time.Now().Add(time.Second), node.Platform()); err == nil {
				_ = node.Fetch(time.Now().Add(time.Second), head)
			}
		}
	})
}

func TestRacingOperators(t *testing.T) {
	for seed := int64(1); seed <= int64(*seeds); seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceOperators(t, seed) })
		})
	}
}

// raceOperators lets four operators publish edits of three tenants while the platform
// loses responses to writes, responds late or is unavailable.
func raceOperators(t *testing.T, seed int64) {
	g := gomega.NewWithT(t)
	r := &publishRace{g: g, platform: newPlatform(), random: rand.New(rand.NewSource(seed)), accepted: map[int64]string{}}
	first := Request{ID: "first", Operator: "first", Target: configuration(map[string]int{"a": 1, "b": 1, "c": 1})}
	_, err := Publish(r.platform.DirectClient(""), first, time.Now().Add(time.Minute))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	stop := make(chan struct{})
	var nodes, operators sync.WaitGroup
	r.watchVersions(stop, &nodes)
	for operator := range 4 {
		operatorRandom := rand.New(rand.NewSource(seed*100 + int64(operator)))
		operators.Go(func() {
			for number := range 15 {
				time.Sleep(time.Duration(operatorRandom.Intn(3000)) * time.Millisecond)
				r.publish(fmt.Sprint("operator-", operator), number, string(rune('a'+operatorRandom.Intn(3))), 2+operatorRandom.Intn(500))
			}
		})
	}
	for range 20 {
		time.Sleep(time.Duration(r.random.Intn(2000)) * time.Millisecond)
		r.platform.SetFaults(platformstandin.Faults{LoseWrites: int64(r.random.Intn(3)), Outage: r.random.Intn(4) == 0, SlowMS: int64(r.random.Intn(300))})
	}
	r.platform.SetFaults(platformstandin.Faults{})
	operators.Wait()
	close(stop)
	nodes.Wait()
	r.checkHistory()
}

// checkHistory asserts that every accepted edit is in its version, and that the version
// in force can be built from the store without a missing change.
func (r *publishRace) checkHistory() {
	client := r.platform.DirectClient("")
	deadline := time.Now().Add(time.Minute)
	head, _, err := configfollower.ReadHead(deadline, client)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
	r.g.Expect(len(r.accepted)).To(gomega.BeNumerically(">", 0))
	for version, edit := range r.accepted {
		versioned, err := Load(client, version, deadline)
		r.g.Expect(err).NotTo(gomega.HaveOccurred())
		name := edit[:1]
		tenant, found := versioned.Configuration().Tenant(name)
		r.g.Expect(found).To(gomega.BeTrue())
		r.g.Expect(fmt.Sprintf("%s=%.0f", name, tenant.Weight())).To(gomega.Equal(edit))
	}
	_, err = Load(client, head.Version, deadline)
	r.g.Expect(err).NotTo(gomega.HaveOccurred())
}

func TestOverlappingEditsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newPlatform().DirectClient("")
	deadline := time.Now().Add(time.Minute)
	publish := func(id string, base int64, weights map[string]int) (Result, error) {
		return Publish(client, Request{ID: id, Operator: id, Base: base, Target: configuration(weights)}, deadline)
	}
	_, err := publish("first", 0, map[string]int{"a": 1, "b": 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = publish("second", 1, map[string]int{"a": 2, "b": 1})
	g.Expect(err).NotTo(gomega.HaveOccurred())

	_, err = publish("third", 1, map[string]int{"a": 3, "b": 1})
	var conflict *ConflictError
	g.Expect(errors.As(err, &conflict)).To(gomega.BeTrue())
	g.Expect(conflict.Error()).To(gomega.Equal("version 2 by second also changed: tenant a"))

	result, err := publish("fourth", 1, map[string]int{"a": 1, "b": 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result.Rebased).To(gomega.BeTrue())
	versioned, err := Load(client, result.Version, deadline)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tenant, _ := versioned.Configuration().Tenant("a")
	g.Expect(tenant.Weight()).To(gomega.Equal(2.0))

	retried, err := publish("fourth", 1, map[string]int{"a": 1, "b": 4})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(retried.Version).To(gomega.Equal(result.Version))
}
