package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/commander"
)

var _ = ginkgo.Describe("a node that is starting", func() {
	ginkgo.It("outlives a SIGHUP before its settings are read", func() {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), "settings")
		gomega.Expect(syscall.Mkfifo(path, 0o600)).To(gomega.Succeed())
		ended := make(chan int, 1)
		var out, err bytes.Buffer
		go func() { ended <- commander.Main([]string{"serve", "-settings", path}, &out, &err) }()
		settings, openErr := os.OpenFile(path, os.O_WRONLY, 0) // Returns when the node has begun to read.
		gomega.Expect(openErr).NotTo(gomega.HaveOccurred())
		gomega.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(gomega.Succeed())
		time.Sleep(50 * time.Millisecond)
		_, writeErr := settings.WriteString("{}")
		gomega.Expect(writeErr).NotTo(gomega.HaveOccurred())
		gomega.Expect(settings.Close()).To(gomega.Succeed())
		gomega.Eventually(ended, 2*time.Second).Should(gomega.Receive(gomega.Equal(commander.ExitRefused)))
		gomega.Expect(err.String()).To(gomega.ContainSubstring("name"))
	})
})
