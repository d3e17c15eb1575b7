package launcher

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// programsVariable names the folder with the built programs; without it the
// tests over real processes do not run.
const programsVariable = "ACACIA_PROCESS_TESTS"

func TestLauncher(t *testing.T) {
	if os.Getenv(programsVariable) == "" {
		t.Skipf("%s is not set; 'make process' sets it", programsVariable)
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "launcher")
}

func startQuick() *Set {
	set, err := Start(Spec{
		Programs: os.Getenv(programsVariable), Configuration: "../examples/quickstart",
		NodesPerZone: 2, FirstTokenMS: 10, TokenMS: 2,
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(set.Close)
	return set
}

var _ = ginkgo.Describe("quick start", func() {
	ginkgo.It("serves the whole path", func() {
		gomega.Expect(QuickStart(startQuick(), ginkgo.GinkgoWriter)).To(gomega.Succeed())
	})
})
