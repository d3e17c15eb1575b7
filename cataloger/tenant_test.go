package cataloger_test

import (
	"math"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
)

// Guards against counts of tokens that a caller names so that its request costs less than it takes.
var _ = ginkgo.It("a request costs the sum of its tokens, also if a count is below 0 or the sum is beyond all numbers", func() {
	tenant := cataloger.Tenant{Metered: true}
	cost := func(prompt, response int) int64 { return tenant.Cost(prompt, response, true) }
	gomega.Expect(cost(500, 220)).To(gomega.BeEquivalentTo(720))
	gomega.Expect(cost(30_000, -29_999)).To(gomega.BeEquivalentTo(30_000))
	gomega.Expect(cost(-5, -5)).To(gomega.BeEquivalentTo(1))
	gomega.Expect(cost(math.MaxInt64, math.MaxInt64)).To(gomega.BeEquivalentTo(math.MaxInt64))
})
