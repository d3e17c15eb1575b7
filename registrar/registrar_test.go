package registrar_test

import (
	"sort"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

func TestRegistrar(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "registrar")
}

// step is one event of a script. At is in milliseconds.
type step struct {
	At int64
	// Do is "replace", "apply", "lapse" for entries that may have lapsed until Until, "hear" for the store's era since Began, "expire", or "depart" for the
	// departure of Departing.
	Do string
	// Workers and Removed map IDs to row versions; Version is the list's version of a replace.
	Workers map[string]int64
	Removed map[string]int64
	Version int64
	// Until and Began are times like At.
	Until, Began int64
	// Era is the store's era of all versions of the step.
	Era int64
	// Leaving are the IDs of Workers whose entries say that they leave.
	Leaving []string
	// Born maps IDs in Workers, or the departing one, to their incarnations.
	Born      map[string]int64
	Departing string
	// ListedLeaving are the IDs of those in Listed that leave, sorted.
	ListedLeaving []string
	// Listed are the IDs that must be listed after the step, sorted.
	Listed []string
}

var _ = ginkgo.Describe("list of workers", func() {
	var scripts []struct {
		Name  string
		Steps []step
	}
	gomega.Expect(casereader.Read("testdata/lists.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			list := registrar.New()
			start := time.Unix(1000, 0)
			for _, next := range s.Steps {
				applyStep(list, start, next)
				ids := lo.Map(list.Fleet().All(), func(w *registrar.Worker, _ int) string { return w.ID })
				sort.Strings(ids)
				gomega.Expect(ids).To(gomega.Equal(append([]string{}, next.Listed...)), "after %d ms", next.At)
				leaving := lo.FilterMap(list.Fleet().All(), func(w *registrar.Worker, _ int) (string, bool) { return w.ID, w.Leaving })
				sort.Strings(leaving)
				gomega.Expect(leaving).To(gomega.Equal(append([]string{}, next.ListedLeaving...)), "after %d ms", next.At)
			}
		})
	}
})

// applyStep calls the method that a step names.
func applyStep(list *registrar.Registrar, start time.Time, next step) {
	now := start.Add(time.Duration(next.At) * time.Millisecond)
	inEra := func(rowVersion int64) int64 {
		version, _ := platformclient.NewVersion(next.Era, rowVersion)
		return version
	}
	workers := lo.MapToSlice(next.Workers, func(id string, version int64) registrar.Worker {
		return registrar.Worker{ID: id, Service: "s", RowVersion: inEra(version), Leaving: lo.Contains(next.Leaving, id), Incarnation: next.Born[id]}
	})
	switch next.Do {
	case "replace":
		list.Replace(now, workers, inEra(next.Version))
	case "lapse":
		list.ExpectLapsed(start.Add(time.Duration(next.Until) * time.Millisecond))
	case "hear":
		list.ObserveEra(now, start.Add(time.Duration(next.Began)*time.Millisecond), inEra(next.Version))
	case "depart":
		list.RecordDeparture(registrar.Departure{Worker: next.Departing, Incarnation: next.Born[next.Departing]}, true)
	case "expire":
		list.RemoveExpired(now)
	case "apply":
		changes := lo.Map(workers, func(w registrar.Worker, _ int) registrar.Change { return registrar.Change{Worker: w} })
		for id, version := range next.Removed {
			changes = append(changes, registrar.Change{Worker: registrar.Worker{ID: id, RowVersion: inEra(version)}, Removed: true})
		}
		list.Apply(now, changes)
	default:
		ginkgo.Fail("step " + next.Do + " is none of replace, apply, lapse, hear, expire and depart")
	}
}

// Guards against a version being taken for the only one right after the last worker of another has left.
var _ = ginkgo.Describe("software versions of a service", func() {
	ginkgo.It("count while they are listed and for a minute after that", func() {
		r, now := registrar.New(), time.Now()
		worker := func(id, software string) registrar.Worker {
			return registrar.Worker{ID: id, Service: "s", Software: software, RowVersion: 1}
		}
		r.Replace(now, []registrar.Worker{worker("a", "v1"), worker("b", "v2")}, 1)
		r.Apply(now, []registrar.Change{{Worker: registrar.Worker{ID: "b", RowVersion: 2}, Removed: true}})
		gomega.Expect(r.Fleet().Software(now, "s")).To(gomega.ConsistOf("v1", "v2"))
		r.Apply(now, []registrar.Change{{Worker: registrar.Worker{ID: "c", Service: "s", Software: "v1", RowVersion: 3}}})
		gomega.Expect(r.Fleet().Software(now.Add(59*time.Second), "s")).To(gomega.ConsistOf("v1", "v2"))
		gomega.Expect(r.Fleet().Software(now.Add(61*time.Second), "s")).To(gomega.ConsistOf("v1"))
		gomega.Expect(r.Fleet().Software(now, "other")).To(gomega.BeEmpty())
	})
	ginkgo.It("of the time before a process started are known once they are recalled, and count for the rest of the minute", func() {
		r, now := registrar.New(), time.Now()
		r.Replace(now, []registrar.Worker{{ID: "c", Service: "s", Software: "v2", RowVersion: 1}}, 1)
		gomega.Expect(r.Fleet().KnowsSoftware(now)).To(gomega.BeFalse())
		gomega.Expect(r.Fleet().LastListed(now)).To(gomega.BeNil())
		gomega.Expect(r.Fleet().KnowsSoftware(now.Add(61 * time.Second))).To(gomega.BeTrue())
		r.Recall(now, registrar.Software{"s": {"v1": now.Add(-20 * time.Second), "v0": now.Add(-61 * time.Second)}})
		gomega.Expect(r.Fleet().KnowsSoftware(now)).To(gomega.BeTrue())
		gomega.Expect(r.Fleet().Software(now.Add(39*time.Second), "s")).To(gomega.ConsistOf("v1", "v2"))
		gomega.Expect(r.Fleet().Software(now.Add(41*time.Second), "s")).To(gomega.ConsistOf("v2"))
		gomega.Expect(r.Fleet().LastListed(now)).To(gomega.Equal(registrar.Software{"s": {"v1": now.Add(-20 * time.Second), "v2": now}}))
	})
})
