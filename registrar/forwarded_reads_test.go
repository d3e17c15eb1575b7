package registrar_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

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
