package registrar_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// availability is what a node must know of a worker to send requests to it.
type availability struct {
	address     string
	leaving     bool
	incarnation int64
}

// availabilities returns the availability of the listed workers by their IDs.
func availabilities(list *registrar.Registrar) map[string]availability {
	found := map[string]availability{}
	for _, w := range list.Fleet().All() {
		found[w.ID] = availability{address: w.Address, leaving: w.Leaving, incarnation: w.Incarnation}
	}
	return found
}

// checkForwarding lets a source registrar read a random store, as complete lists or as changes, and forwards its
// changes to a target registrar at random times, which reads complete lists itself now and then. After the last forwarding
// both must list the same workers.
func checkForwarding(t *rapid.T) {
	now := time.Unix(1000, 0)
	source, target := registrar.New(), registrar.New()
	store := map[string]registrar.Worker{}
	version, read, known, base := int64(0), int64(0), int64(0), int64(0)
	var unread []registrar.Change
	readAll := func(list *registrar.Registrar) {
		var all []registrar.Worker
		for _, w := range store {
			all = append(all, w)
		}
		list.Replace(now, all, version)
	}
	forward := func() {
		if known < base { // The source may not know all that the target has seen.
			if rapid.Bool().Draw(t, "target reads") {
				readAll(target)
				known = version
				return
			}
			target.ReplaceForwarded(now, lo.Map(source.Entries(), func(change registrar.Change, _ int) registrar.Worker { return change.Worker }), read)
			known = read
			return
		}
		for _, change := range source.ChangesSince(known) {
			target.Apply(now, []registrar.Change{change})
		}
		known = max(known, read)
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		id := fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "worker"))
		switch rapid.IntRange(0, 6).Draw(t, "do") {
		case 0, 1:
			version++
			w := registrar.Worker{ID: id, Service: "s", Address: fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "address")), Leaving: rapid.Bool().Draw(t, "leaving"), RowVersion: version}
			store[id] = w
			unread = append(unread, registrar.Change{Worker: w})
		case 2:
			if _, listed := store[id]; listed {
				version++
				delete(store, id)
				unread = append(unread, registrar.Change{Worker: registrar.Worker{ID: id, RowVersion: version}, Removed: true})
			}
		case 3:
			source.Apply(now, unread)
			unread, read = nil, version
		case 4:
			if len(unread) > 0 {
				base = version
			}
			readAll(source)
			unread, read = nil, version
		case 5:
			forward()
		case 6:
			readAll(target)
			known = version
		}
	}
	readAll(source)
	if len(unread) > 0 {
		base = version
	}
	read = version
	forward()
	if fmt.Sprint(availabilities(target)) != fmt.Sprint(availabilities(source)) {
		t.Fatalf("target lists %v, source lists %v", availabilities(target), availabilities(source))
	}
}

var _ = ginkgo.Describe("changes since a version", func() {
	ginkgo.It("bring another registrar to the same workers, in whatever way the store was read in between", func() {
		rapid.Check(ginkgo.GinkgoT(), checkForwarding)
	})
	// Guards against requests to a worker whose restored entry is removed again, from nodes that listed it when they started.
	ginkgo.It("tell the removal of an entry that came back with an older copy after this node had removed it", func() {
		inEra := func(rowVersion int64) int64 {
			version, _ := platformclient.NewVersion(1, rowVersion)
			return version
		}
		restored := []registrar.Worker{{ID: "a", Service: "s", RowVersion: inEra(8)}, {ID: "b", Service: "s", RowVersion: inEra(9)}}
		removals := map[string]func(leader *registrar.Registrar){
			"by a change": func(leader *registrar.Registrar) {
				leader.Apply(time.Unix(4, 0), []registrar.Change{{Worker: registrar.Worker{ID: "a", RowVersion: inEra(20)}, Removed: true}})
			},
			"by a list without it": func(leader *registrar.Registrar) { leader.Replace(time.Unix(4, 0), restored[1:], inEra(20)) },
		}
		for name, remove := range removals {
			leader, started := registrar.New(), registrar.New()
			leader.Replace(time.Unix(0, 0), []registrar.Worker{{ID: "a", Service: "s", RowVersion: 8}, {ID: "b", Service: "s", RowVersion: 9}}, 10)
			leader.Apply(time.Unix(1, 0), []registrar.Change{{Worker: registrar.Worker{ID: "a", RowVersion: 11}, Removed: true}})
			leader.Replace(time.Unix(2, 0), restored, inEra(10))
			started.Replace(time.Unix(2, 0), restored, inEra(10))
			gomega.Expect(availabilities(started)).To(gomega.HaveLen(2))
			remove(leader)
			started.Apply(time.Unix(4, 0), leader.ChangesSince(inEra(10)))
			gomega.Expect(availabilities(started)).To(gomega.And(gomega.HaveLen(1), gomega.HaveKey("b")), name)
		}
	})
	ginkgo.It("leave out heartbeats without a change of availability", func() {
		list := registrar.New()
		heartbeat := func(version int64) registrar.Worker {
			return registrar.Worker{ID: "a", Service: "s", Address: "1", RowVersion: version}
		}
		list.Replace(time.Unix(0, 0), []registrar.Worker{heartbeat(1)}, 1)
		list.Apply(time.Unix(1, 0), []registrar.Change{{Worker: heartbeat(2)}, {Worker: heartbeat(3)}})
		gomega.Expect(list.ChangesSince(1)).To(gomega.BeEmpty())
		gomega.Expect(list.ChangesSince(0)).To(gomega.HaveLen(1))
	})
})
