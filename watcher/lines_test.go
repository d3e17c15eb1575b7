package watcher_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/scripter"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// heartbeat is a change of the list of workers in a script.
type heartbeat struct {
	ID      string
	Leaving bool
	Born    int64
	Version int64
	Removed bool
}

var _ = ginkgo.Describe("changes of what a node believes, in logs", func() {
	var scripts []struct {
		Name string
		// Away is set when the store is away for a while, Config is a new version of the configuration.
		Away   bool
		Config int64
		// Relay and Ended: the leader's reads begin to come, and end.
		Relay, Ended bool
		Heartbeats   []heartbeat
		Lines        []string
	}
	gomega.Expect(scripter.Read("testdata/lines.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		ginkgo.It(script.Name, func() {
			logged := scripter.NewCapture()
			defer logged.Close()
			s := &store{version: 10, workers: []string{"a"}}
			w := watcher.New(s.source(), registrar.New(), func() {})
			w.Run()
			defer w.Stop()
			gomega.Eventually(w.Ready, time.Second).Should(gomega.BeTrue())
			s.set(func() { s.away = script.Away; s.version = max(script.Config, s.version) })
			time.Sleep(400 * time.Millisecond)
			s.set(func() { s.away = false })
			for _, beat := range script.Heartbeats {
				change := registrar.Change{Removed: beat.Removed, Worker: registrar.Worker{ID: beat.ID, Service: "s", Leaving: beat.Leaving, Born: beat.Born, RowVersion: beat.Version}}
				w.TakeRelay(time.Now(), watcher.Relay{Version: beat.Version, ReadAt: time.Now(), Changes: []registrar.Change{change}})
			}
			if script.Relay {
				w.TakeRelay(time.Now(), watcher.Relay{Version: 11, ReadAt: time.Now()})
			}
			if script.Ended {
				w.EndRelay()
			}
			gomega.Eventually(func() []string { return logged.Missing(script.Lines) }, 3*time.Second).Should(gomega.BeEmpty())
		})
	}
})
