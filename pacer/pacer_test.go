package pacer_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/pacer"
)

// TestPause checks that a leader's messages do not grow with the nodes, and that
// its heartbeats stay frequent enough to be believed.
func TestPause(t *testing.T) {
	gomega.RegisterTestingT(t)
	const mostPerSecond = 130
	for nodes := 1; nodes <= 50; nodes++ {
		gomega.Expect(float64(nodes)/pacer.Pause(nodes).Seconds()).To(gomega.BeNumerically("<=", mostPerSecond), "%d nodes", nodes)
	}
	gomega.Expect(pacer.Pause(0)).To(gomega.Equal(pacer.Shortest))
	gomega.Expect(pacer.Pause(400)).To(gomega.Equal(pacer.Longest))
	gomega.Expect(3*pacer.Longest).To(gomega.BeNumerically("<=", 1200*time.Millisecond), "a stream that is silent for so long is opened anew")
}
