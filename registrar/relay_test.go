package registrar_test

import (
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// reach is what a node must know of a worker to send requests there.
type reach struct {
	address string
	leaving bool
	born    int64
}

func reaches(list *registrar.Registrar) map[string]reach {
	found := map[string]reach{}
	for _, w := range list.Fleet().All() {
		found[w.ID] = reach{address: w.Address, leaving: w.Leaving, born: w.Born}
	}
	return found
}

// playRelay lets a list read the store at random, as lists or feeds, and tells another one of it now and then.
func playRelay(t *rapid.T) {
	now := time.Unix(1000, 0)
	reading, told := registrar.New(), registrar.New()
	store := map[string]registrar.Worker{}
	version, read, known := int64(0), int64(0), int64(0)
	var unread []registrar.Change
	relay := func() {
		for _, change := range reading.Since(known) {
			told.Apply(now, []registrar.Change{change})
		}
		known = read
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		id := fmt.Sprint("w", rapid.IntRange(0, 4).Draw(t, "worker"))
		switch rapid.IntRange(0, 5).Draw(t, "do") {
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
			reading.Apply(now, unread)
			unread, read = nil, version
		case 4:
			var all []registrar.Worker
			for _, w := range store {
				all = append(all, w)
			}
			reading.Replace(now, all, version)
			unread, read = nil, version
		case 5:
			relay()
		}
	}
	relay()
	if fmt.Sprint(reaches(told)) != fmt.Sprint(reaches(reading)) {
		t.Fatalf("told %v, read %v", reaches(told), reaches(reading))
	}
}

var _ = ginkgo.Describe("changes since a version", func() {
	ginkgo.It("bring another list to the same workers, whichever were read between", func() {
		rapid.Check(ginkgo.GinkgoT(), playRelay)
	})
	ginkgo.It("leave out heartbeats that say nothing new", func() {
		list := registrar.New()
		beat := func(version int64) registrar.Worker {
			return registrar.Worker{ID: "a", Service: "s", Address: "1", RowVersion: version}
		}
		list.Replace(time.Unix(0, 0), []registrar.Worker{beat(1)}, 1)
		list.Apply(time.Unix(1, 0), []registrar.Change{{Worker: beat(2)}, {Worker: beat(3)}})
		gomega.Expect(list.Since(1)).To(gomega.BeEmpty())
		gomega.Expect(list.Since(0)).To(gomega.HaveLen(1))
	})
})
