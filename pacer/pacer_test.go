package pacer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/pacer"
)

// TestPause checks that a leader's message rate stays below maxPerSecond with up to
// 50 nodes, and that three of the longest pauses fit into the silence after which a
// stream is reopened.
func TestPause(t *testing.T) {
	gomega.RegisterTestingT(t)
	const maxPerSecond = 130
	for nodes := 1; nodes <= 50; nodes++ {
		gomega.Expect(float64(nodes)/pacer.Pause(nodes).Seconds()).To(gomega.BeNumerically("<=", maxPerSecond), "%d nodes", nodes)
	}
	gomega.Expect(pacer.Pause(0)).To(gomega.Equal(pacer.MinPause))
	gomega.Expect(pacer.Pause(400)).To(gomega.Equal(pacer.MaxPause))
	gomega.Expect(3*pacer.MaxPause).To(gomega.BeNumerically("<=", 1200*time.Millisecond), "a stream is reopened after 1200 ms of silence, which must span three of the longest pauses")
}
