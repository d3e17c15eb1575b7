package fleetleader

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

var _ = ginkgo.Describe("concurrent loads from the weight store", func() {
	var scripts []struct {
		Name string
		// FullSpeed is how many concurrent loads the store serves at full speed each.
		FullSpeed int
		// Loads is how many loads end one after the other, each while the limit is used up.
		Loads int
		// Limit is the expected limit after that, give or take 1.
		Limit int
	}
	gomega.Expect(casereader.Read("testdata/throttle.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			const expected = 6 * time.Second
			t := throttle{limit: initialLoadLimit}
			for range s.Loads {
				running := t.limit
				t.recordLoad(expected*time.Duration(max(running, s.FullSpeed))/time.Duration(s.FullSpeed), expected, running)
			}
			gomega.Expect(t.limit).To(gomega.BeNumerically("~", s.Limit, 1))
			gomega.Expect(t.limit).To(gomega.BeNumerically(">=", 1))
		})
	}
})
