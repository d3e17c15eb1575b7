package launcher

import (
	"os"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// programsVariable is the environment variable that names the folder with the
// built programs. Without it, the tests over real processes are skipped.
const programsVariable = "ACACIA_PROCESS_TESTS"

func TestLauncher(t *testing.T) {
	if os.Getenv(programsVariable) == "" {
		t.Skipf("%s is not set; 'make process' sets it", programsVariable)
	}
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "launcher")
}

// startQuickStartSet starts a set with the quick start's configuration and two nodes in each zone. The set is closed at the
// end of the spec.
func startQuickStartSet() *Set {
	set, err := Start(Spec{
		Programs: os.Getenv(programsVariable), Configuration: "../examples/quickstart",
		NodesPerZone: 2, FirstTokenMS: 10, TokenMS: 2,
	})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(set.Close)
	return set
}

var _ = ginkgo.Describe("quick start", func() {
	ginkgo.It("runs every step with the expected response", func() {
		gomega.Expect(QuickStart(startQuickStartSet(), ginkgo.GinkgoWriter)).To(gomega.Succeed())
	})
})
