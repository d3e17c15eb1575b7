package gateway

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// TestDrain guards against requests that come late in a planned stop and are cut off at its end.
func TestDrain(t *testing.T) {
	var requests []struct {
		Name string
		// AtMS and DeadlineMS count from the beginning of the drain, which new connections reach until second 2 and which ends at second 7. NoDrain is set if the
		// node does not stop.
		AtMS, DeadlineMS int64
		NoDrain, Refused bool
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/drains.json", &requests)).To(gomega.Succeed())
	for _, r := range requests {
		t.Run(r.Name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			stop := &drain{refusesFrom: began.Add(2 * time.Second), endsAt: began.Add(7 * time.Second)}
			if r.NoDrain {
				stop = nil
			}
			refused := stop.mayCutOff(began.Add(time.Duration(r.AtMS)*time.Millisecond), began.Add(time.Duration(r.DeadlineMS)*time.Millisecond))
			gomega.NewWithT(t).Expect(refused).To(gomega.Equal(r.Refused))
		})
	}
}
