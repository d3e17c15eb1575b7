package fleetleader

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/pacer"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// manyNodes is a number of nodes for which the longest pause applies.
const manyNodes = 80

// addNodes sends the demand messages of nodes without requests.
func (z *fakeZone) addNodes(count int) {
	for i := range count {
		z.leader.ReceiveDemand(&nodewire.Demand{Node: fmt.Sprint("other", i), Zone: "z", Whole: true})
	}
}

// viewAfterFirst skips the first view, which contains everything, and returns the second one and the wait for it.
func viewAfterFirst(subscription *Subscription) (*nodewire.View, time.Duration) {
	subscription.Next(nil)
	began := time.Now()
	return subscription.Next(nil), time.Since(began)
}

var _ = ginkgo.Describe("followers of a leader with many nodes (75 hosts whose models change concurrently)", func() {
	// Views that a change wakes arrive within maxWakeDelay, others later.
	const maxWakeDelay = pacer.MaxPause / 2
	var z *fakeZone
	var subscription *Subscription
	changeWorker := func() {
		time.Sleep(20 * time.Millisecond)
		z.leader.mu.Lock()
		defer z.leader.mu.Unlock()
		z.leader.markChanged("w0", "m1")
		z.leader.notifyFollowers()
	}
	ginkgo.BeforeEach(func() {
		z = newFakeZone(1, 0, 0)
		z.quiet = true
		z.leader.Run()
		ginkgo.DeferCleanup(z.leader.Stop)
		subscription = z.subscribe()
		ginkgo.DeferCleanup(subscription.Close)
		z.addNodes(manyNodes)
		time.Sleep(300 * time.Millisecond) // Until the worker's report is read.
	})
	ginkgo.It("do not get changes of models for which none of their requests wait before the next regular view", func() {
		go changeWorker()
		_, after := viewAfterFirst(subscription)
		gomega.Expect(after).To(gomega.BeNumerically(">", maxWakeDelay))
	})
	ginkgo.It("immediately get changes of models for which their requests wait", func() {
		subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "z", Models: []*nodewire.ModelDemand{{Service: "s", Model: "m1", Waiting: 1, DueMs: 1000}}})
		go changeWorker()
		_, after := viewAfterFirst(subscription)
		gomega.Expect(after).To(gomega.BeNumerically("<", maxWakeDelay))
	})
	ginkgo.It("immediately get all changes if they lead another zone", func() {
		subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "y", Leads: true})
		go changeWorker()
		_, after := viewAfterFirst(subscription)
		gomega.Expect(after).To(gomega.BeNumerically("<", maxWakeDelay))
	})
	ginkgo.It("immediately get added and removed workers", func() {
		subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 1})
		subscription.Next(nil)
		z.leader.dependencies.Workers.Apply(time.Now(), []registrar.Change{{Worker: registrar.Worker{ID: "new", Service: "s", Zone: "y", RowVersion: 7}}})
		began := time.Now()
		z.leader.Wake()
		view := subscription.Next(nil)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", maxWakeDelay))
		gomega.Expect(view.GetRelay().GetChanges()).To(gomega.HaveLen(1))
		gomega.Expect(view.GetRelay().GetChanges()[0].GetWorker()).To(gomega.Equal("new"))
	})
})

var _ = ginkgo.Describe("changes forwarded from the store", func() {
	var z *fakeZone
	forwardTo := func(demand *nodewire.Demand) *nodewire.Relay {
		subscription := z.subscribe()
		defer subscription.Close()
		subscription.ReceiveDemand(demand)
		return subscription.Next(nil).GetRelay()
	}
	ginkgo.BeforeEach(func() {
		z = newFakeZone(1, 0, 0)
		z.leader.dependencies.ListFreshness = func(now time.Time) Freshness { return Freshness{BaseVersion: 5, Version: 9, ReadAt: now} }
		z.leader.Run()
		ginkgo.DeferCleanup(z.leader.Stop)
	})
	ginkgo.It("go to nodes of the leader's zone that know the list of workers up to the base version or later", func() {
		gomega.Expect(forwardTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 6}).GetVersion()).To(gomega.Equal(int64(9)))
	})
	ginkgo.It("do not go to nodes behind the base version, which may know workers removed since", func() {
		gomega.Expect(forwardTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 4})).To(gomega.BeNil())
	})
	// Guards against requests to workers that have left from a node which cannot read the store, while its leader does not know all changes since the node's list (DRAIN).
	ginkgo.It("are the whole list for nodes behind the base version that cannot read the store", func() {
		z.leader.dependencies.Workers.Apply(time.Now(), []registrar.Change{
			{Worker: registrar.Worker{ID: "gone", Service: "s", Zone: "z", RowVersion: 3}},
			{Worker: registrar.Worker{ID: "new", Service: "s", Zone: "y", RowVersion: 3}},
			{Worker: registrar.Worker{ID: "gone", RowVersion: 7}, Removed: true},
		})
		relay := forwardTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 4, Unanswered: true})
		gomega.Expect(relay.GetWhole()).To(gomega.BeTrue())
		ids := lo.Map(relay.GetChanges(), func(heartbeat *nodewire.Heartbeat, _ int) string { return heartbeat.GetWorker() })
		gomega.Expect(ids).To(gomega.ContainElement("new"))
		gomega.Expect(ids).NotTo(gomega.ContainElement("gone"))
		gomega.Expect(forwardTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 6, Unanswered: true}).GetWhole()).To(gomega.BeFalse())
		gomega.Expect(forwardTo(&nodewire.Demand{Node: "n", Zone: "y", ListVersion: 4, Unanswered: true})).To(gomega.BeNil())
	})
	ginkgo.It("do not go to other zones, nor to leaders", func() {
		gomega.Expect(forwardTo(&nodewire.Demand{Node: "n", Zone: "y", ListVersion: 6})).To(gomega.BeNil())
		gomega.Expect(forwardTo(&nodewire.Demand{Node: "n", Zone: "z", ListVersion: 6, Leads: true})).To(gomega.BeNil())
	})
})

// Guards against nodes that lost the store together with the leader of their zone and learn neither who leads it now nor that the store was available.
var _ = ginkgo.Describe("nodes that cannot tell whether the store was available", func() {
	ginkgo.It("are told immediately when it was and who leads the zones, also in other zones", func() {
		z := newFakeZone(1, 0, 0)
		z.leader.dependencies.Availability = func() (sinceFirst, sinceLast time.Duration) { return time.Minute, 300 * time.Millisecond }
		leases := []*nodewire.LeaseView{{Zone: "y", Version: 3}, {Zone: "z", Version: 4}}
		z.leader.dependencies.Lease.Leases = func() []*nodewire.LeaseView { return leases }
		z.leader.Run()
		ginkgo.DeferCleanup(z.leader.Stop)
		z.addNodes(manyNodes)
		subscription := z.subscribe()
		defer subscription.Close()
		subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "y"})
		view, _ := viewAfterFirst(subscription)
		gomega.Expect(view.GetAvailability()).To(gomega.BeNil())
		gomega.Expect(view.GetLeases()).To(gomega.BeEmpty())

		began := time.Now()
		subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "y", Unsure: true})
		view = subscription.Next(nil)
		gomega.Expect(time.Since(began)).To(gomega.BeNumerically("<", pacer.MaxPause/2))
		gomega.Expect(view.GetAvailability().GetFirstMs()).To(gomega.Equal(int64(60_000)))
		gomega.Expect(view.GetAvailability().GetLastMs()).To(gomega.Equal(int64(300)))
		gomega.Expect(view.GetLeases()).To(gomega.HaveLen(2))

		leases = []*nodewire.LeaseView{{Zone: "y", Version: 3}, {Zone: "z", Version: 5}}
		view = subscription.Next(nil)
		gomega.Expect(view.GetAvailability()).NotTo(gomega.BeNil())
		gomega.Expect(view.GetLeases()).To(gomega.HaveLen(1), "only what has changed")

		subscription.ReceiveDemand(&nodewire.Demand{Node: "n", Zone: "y"})
		gomega.Expect(subscription.Next(nil).GetAvailability()).To(gomega.BeNil())
	})
})
