package launcher

import (
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

var _ = ginkgo.Describe("callers that write their whole request before they read", func() {
	ginkgo.It("get every early response of a node", func() {
		node := startQuickStartSet().Nodes()[0]
		failures, err := rawpeer.Check(node.address, "x", "testdata/early_responses.json")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(failures).To(gomega.BeEmpty())
		checkNoneInFlight(node)
	})

	ginkgo.It("get every early response of a node that stands still for longer than it waits for quiet callers", func() {
		node := startQuickStartSet().Nodes()[0]
		pauses := make(chan struct{})
		go func() {
			defer close(pauses)
			defer ginkgo.GinkgoRecover()
			time.Sleep(time.Second)
			gomega.Expect(node.Signal(syscall.SIGSTOP)).To(gomega.Succeed())
			time.Sleep(3 * time.Second)
			gomega.Expect(node.Signal(syscall.SIGCONT)).To(gomega.Succeed())
		}()
		failures, err := rawpeer.Check(node.address, "x", "testdata/early_responses_paused.json")
		<-pauses
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(failures).To(gomega.BeEmpty())
		checkNoneInFlight(node)
	})
})
