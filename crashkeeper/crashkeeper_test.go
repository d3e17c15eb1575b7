package crashkeeper_test

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
)

func TestCrashkeeper(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "crashkeeper")
}

// crashScript is one script of testdata/crashes.json.
type crashScript struct {
	Name  string
	Steps []struct {
		// Do is "report", "again" (a report of a send that began after the step before), "learn", "restart" (a new process that has read the store), "lose" (the store loses its rows), "restore" (it comes back from an older copy without rows, and the process reads all rows at once), "list" (the
		// process reads all rows), "down" or "up" (writes fail or succeed), "late" (writes get no response and are done at "arrive").
		Do     string
		Worker string
		Born   int64
		// AgeS is the age of the crash in seconds.
		AgeS int
		// Count is the number of crashes that count after the step.
		Count int
	}
	// Rows is the number of rows in the store at the end.
	Rows int
}

// fakeRows is the table of crashes.
type fakeRows struct {
	// mu guards everything below.
	mu      sync.Mutex
	values  map[string]string
	version int64
	down    bool
	// late makes writes wait in lateWrites.
	late       bool
	lateWrites map[string]string
}

var errDown = errors.New("the store is away")

func (r *fakeRows) rows() crashkeeper.Rows {
	return crashkeeper.Rows{
		Put: func(_ time.Time, key, value string) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.late {
				r.lateWrites[key] = value
				return errDown
			}
			if r.down {
				return errDown
			}
			r.version++
			r.values[key] = value
			return nil
		},
		Create: func(_ time.Time, values map[string]string) ([]crashkeeper.Row, error) {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.down {
				return nil, errDown
			}
			var existing []crashkeeper.Row
			for key := range values {
				if value, found := r.values[key]; found {
					existing = append(existing, crashkeeper.Row{Key: key, Value: value, Version: 1})
				}
			}
			if len(existing) == 0 {
				r.version++
				maps.Copy(r.values, values)
			}
			return existing, nil
		},
		Delete: func(_ time.Time, versions map[string]int64) error {
			r.mu.Lock()
			defer r.mu.Unlock()
			for key := range versions {
				delete(r.values, key)
			}
			return nil
		},
	}
}

func (r *fakeRows) list() []crashkeeper.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	var rows []crashkeeper.Row
	for key, value := range r.values {
		rows = append(rows, crashkeeper.Row{Key: key, Value: value, Version: 1})
	}
	return rows
}

func (r *fakeRows) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
}

var _ = ginkgo.Describe("crashes of workers", func() {
	var scripts []crashScript
	gomega.Expect(casereader.Read("testdata/crashes.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			table := &fakeRows{values: map[string]string{}, lateWrites: map[string]string{}}
			processes := 0
			start := func() *crashkeeper.Keeper {
				processes++
				keeper := crashkeeper.New(fmt.Sprint("n", processes), table.rows(), func(string) {})
				keeper.ApplyRows(time.Now(), table.list(), true)
				keeper.Run()
				return keeper
			}
			keeper := start()
			defer func() { keeper.Stop() }()
			now := time.Now()
			for i, step := range script.Steps {
				crash := crashkeeper.Crash{Worker: step.Worker, Incarnation: step.Born, FoundAt: now.Add(-time.Duration(step.AgeS) * time.Second)}
				switch step.Do {
				case "report":
					keeper.Report(now, crash, []string{"f"}, now.Add(-time.Millisecond))
				case "again":
					now = now.Add(time.Second)
					keeper.Report(now, crash, []string{"f"}, now)
				case "learn":
					crash.Fingerprint = "f"
					keeper.Learn(now, crash, "test")
				case "restart":
					keeper.Stop()
					keeper = start()
				case "lose":
					table.update(func() { table.values = map[string]string{} })
				case "restore":
					table.update(func() { table.values = map[string]string{} })
					keeper.NotifyRestored()
					keeper.ApplyRows(now, table.list(), true)
				case "list":
					now = now.Add(3 * time.Second)
					keeper.ApplyRows(now, table.list(), true)
				case "down", "up", "late":
					table.update(func() { table.down, table.late = step.Do == "down", step.Do == "late" })
				case "arrive":
					gomega.Eventually(table.list, 2*time.Second).ShouldNot(gomega.BeEmpty())
					table.update(func() { maps.Copy(table.values, table.lateWrites) })
				}
				gomega.Expect(keeper.Crashes(now, "f")).To(gomega.Equal(step.Count), fmt.Sprintf("step %d: %s", i, step.Do))
				time.Sleep(20 * time.Millisecond) // Until the writer has written.
			}
			gomega.Eventually(table.list, 2*time.Second).Should(gomega.HaveLen(script.Rows))
		})
	}

	ginkgo.It("are sent once on each stream, and all of them on a new one", func() {
		keeper := crashkeeper.New("n", crashkeeper.Rows{}, func(string) {})
		now := time.Now()
		keeper.Report(now, crashkeeper.Crash{Worker: "w1", FoundAt: now}, []string{"f"}, now)
		keeper.Learn(now, crashkeeper.Crash{Fingerprint: "f", Worker: "w2", FoundAt: now}, "test")
		all, next := keeper.Since(now, 0, false)
		gomega.Expect(all).To(gomega.HaveLen(2))
		own, _ := keeper.Since(now, 0, true)
		gomega.Expect(own).To(gomega.HaveLen(1))
		rest, _ := keeper.Since(now, next, false)
		gomega.Expect(rest).To(gomega.BeEmpty())
	})

	ginkgo.It("are bounded in number; the oldest are dropped first", func() {
		keeper := crashkeeper.New("n", crashkeeper.Rows{}, func(string) {})
		now := time.Now()
		const kept = 10_000
		for i := range kept + 10 {
			keeper.Learn(now, crashkeeper.Crash{Fingerprint: fmt.Sprint("f", i), Worker: "w", FoundAt: now}, "test")
		}
		all, _ := keeper.Since(now, 0, false)
		gomega.Expect(all).To(gomega.HaveLen(kept))
		gomega.Expect(keeper.Crashes(now, "f0")).To(gomega.BeZero())
		gomega.Expect(keeper.Crashes(now, "f10")).To(gomega.Equal(1))
	})
})
