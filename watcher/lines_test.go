package watcher_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/attester"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/watcher"
)

// workerChange is a change of the list of workers, forwarded by the leader.
type workerChange struct {
	ID      string
	Leaving bool
	Born    int64
	Version int64
	Removed bool
}

var _ = ginkgo.Describe("log lines about changes of the configuration and the workers", func() {
	var cases []struct {
		Name string
		// Away is set when the store is unavailable for a while, of AwayMS milliseconds if that is not 0; Config is a new version of the configuration.
		Away   bool
		AwayMS int
		Config int64
		// Forwarded is set when the leader begins to forward its reads, Ended when it no longer does.
		Forwarded  bool `json:"Relay"`
		Ended      bool
		Heartbeats []workerChange
		// Lines are the expected log lines, each as parts of its text separated by bars.
		Lines []string
	}
	gomega.Expect(casereader.Read("testdata/lines.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It(c.Name, func() {
			capture := casereader.NewCapture()
			defer capture.Close()
			s := &fakeStore{version: 10, workers: []string{"a"}}
			w := watcher.New(s.source(), registrar.New(), attester.New(time.Now), func() {})
			w.Run()
			defer w.Stop()
			gomega.Eventually(w.Ready, time.Second).Should(gomega.BeTrue())
			s.update(func() { s.unavailable = c.Away; s.version = max(c.Config, s.version) })
			time.Sleep(max(400*time.Millisecond, time.Duration(c.AwayMS)*time.Millisecond))
			s.update(func() { s.unavailable = false })
			for _, heartbeat := range c.Heartbeats {
				change := registrar.Change{Removed: heartbeat.Removed, Worker: registrar.Worker{ID: heartbeat.ID, Service: "s", Leaving: heartbeat.Leaving, Incarnation: heartbeat.Born, RowVersion: heartbeat.Version}}
				w.ApplyForwardedReads(time.Now(), watcher.ForwardedReads{Version: heartbeat.Version, ReadAt: time.Now(), Changes: []registrar.Change{change}})
			}
			if c.Forwarded {
				w.ApplyForwardedReads(time.Now(), watcher.ForwardedReads{Version: 11, ReadAt: time.Now()})
			}
			if c.Ended {
				w.EndForwardedReads()
			}
			gomega.Eventually(func() []string { return capture.Missing(c.Lines) }, 3*time.Second).Should(gomega.BeEmpty())
		})
	}
})
