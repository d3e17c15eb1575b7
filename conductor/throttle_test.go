package conductor

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/scripter"
)

var _ = ginkgo.Describe("loads from the weight store at once", func() {
	var scripts []struct {
		Name string
		// FullSpeed is how many loads the store carries at full speed.
		FullSpeed int
		// Loads is how many loads end one after the other, while as many as the limit allows are under way.
		Loads int
		Limit int
	}
	gomega.Expect(scripter.Read("testdata/throttle.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			const expected = 6 * time.Second
			t := throttle{limit: firstAtOnce}
			for range s.Loads {
				underWay := t.limit
				t.ended(expected*time.Duration(max(underWay, s.FullSpeed))/time.Duration(s.FullSpeed), expected, underWay)
			}
			gomega.Expect(t.limit).To(gomega.BeNumerically("~", s.Limit, 1))
			gomega.Expect(t.limit).To(gomega.BeNumerically(">=", 1))
		})
	}
})
