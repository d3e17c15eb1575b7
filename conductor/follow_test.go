package conductor

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// manyNodes is the number of nodes from which the longest pause applies.
const manyNodes = 80

// join adds nodes that ask for nothing.
func (z *fakeZone) join(count int) {
	for i := range count {
		z.conductor.Take(&nodewire.Demand{Node: fmt.Sprint("other", i), Zone: "z", Whole: true})
	}
}

// firstView returns the view after the one that tells everything.
func firstView(subscription *Subscription) (*nodewire.View, time.Duration) {
	subscription.Next(nil)
	began := time.Now()
	return subscription.Next(nil), time.Since(began)
}

var _ = ginkgo.Describe("many nodes that follow a leader (a load of 75 hosts whose models change at once)", func() {
	const soon = pacer.Longest / 2
	var z *fakeZone
	var subscription *Subscription
	change := func() {
		time.Sleep(20 * time.Millisecond)
		z.conductor.mu.Lock()
		defer z.conductor.mu.Unlock()
		z.conductor.touch("w0", "m1")
		z.conductor.flush()
	}
	ginkgo.BeforeEach(func() {
		z = newFakeZone(1, 0, 0)
		z.quiet = true
		z.conductor.Run()
		ginkgo.DeferCleanup(z.conductor.Stop)
		subscription = z.subscribe()
		ginkgo.DeferCleanup(subscription.End)
		z.join(manyNodes)
		time.Sleep(300 * time.Millisecond) // The worker's report is read.
	})
	ginkgo.It("hear later of what none of their requests waits for", func() {
		go change()
		_, after := firstView(subscription)
		gomega.Expect(after).To(gomega.BeNumerically(">", soon))
	})
	ginkgo.It("hear at once of the models that their requests wait for", func() {
		subscription.Take(&nodewire.Demand{Node: "n", Zone: "z", Models: []*nodewire.ModelDemand{{Service: "s", Model: "m1", Waiting: 1, DueMs: 1000}}})
		go change()
		_, after := firstView(subscription)
		gomega.Expect(after).To(gomega.BeNumerically("<", soon))
	})
	ginkgo.It("hear at once of everything when they lead another zone", func() {
		subscription.Take(&nodewire.Demand{Node: "n", Zone: "y", Leads: true})
		go change()
		_, after := firstView(subscription)
		gomega.Expect(after).To(gomega.BeNumerically("<", soon))
	})
	ginkgo.It("hear at once of workers that come or go", func() {
		subscription.Take(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 1})
		subscription.Next(nil)
		z.conductor.parts.List.Apply(time.Now(), []registrar.Change{{Worker: registrar.Worker{ID: "new", Service: "s", Zone: "y", RowVersion: 7}}})
		began := time.Now()
		z.conductor.Kick()
		view := subscription.Next(nil)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", soon))
		gomega.Expect(view.GetRelay().GetChanges()).To(gomega.HaveLen(1))
		gomega.Expect(view.GetRelay().GetChanges()[0].GetWorker()).To(gomega.Equal("new"))
	})
})

var _ = ginkgo.Describe("what a leader tells of the store", func() {
	var z *fakeZone
	relayTo := func(demand *nodewire.Demand) *nodewire.Relay {
		subscription := z.subscribe()
		defer subscription.End()
		subscription.Take(demand)
		return subscription.Next(nil).GetRelay()
	}
	ginkgo.BeforeEach(func() {
		z = newFakeZone(1, 0, 0)
		z.conductor.parts.Fresh = func(now time.Time) Freshness { return Freshness{Base: 5, Version: 9, ReadAt: now} }
		z.conductor.Run()
		ginkgo.DeferCleanup(z.conductor.Stop)
	})
	ginkgo.It("goes to nodes of its zone that know the list from its base on", func() {
		gomega.Expect(relayTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 6}).GetVersion()).To(gomega.Equal(int64(9)))
	})
	ginkgo.It("does not go to nodes that may know workers which are gone since", func() {
		gomega.Expect(relayTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 4})).To(gomega.BeNil())
	})
	ginkgo.It("does not go to other zones, nor to leaders", func() {
		gomega.Expect(relayTo(&nodewire.Demand{Node: "n", Zone: "y", ListVersion: 6})).To(gomega.BeNil())
		gomega.Expect(relayTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 6, Leads: true})).To(gomega.BeNil())
	})
})
