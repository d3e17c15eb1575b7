package quotakeeper_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
)

// Guards against a request whose time to wait is over being told that no retry succeeds, though the allowance covers it.
var _ = ginkgo.It("a request that may not wait any more is not taken for one that the allowance never covers", func() {
	keeper := quotakeeper.New(quotakeeper.NewBounds(1, 8, 0.1, 0), "a", []string{"a"}, func(string, int64) {})
	now := time.UnixMilli(1_000_000)
	ticket := keeper.Admit(now, "t", quotakeeper.Allowance{RatePerS: 1000, Burst: 1000}, 500, now.Add(-time.Second))
	result, _ := ticket.Result()
	gomega.Expect(result).To(gomega.Equal(quotakeeper.Unknown))
})
