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

var _ = ginkgo.Describe("a starting node", func() {
	ginkgo.It("is not ended by a SIGHUP that arrives before its settings are read", func() {
		path := filepath.Join(ginkgo.GinkgoT().TempDir(), "settings")
		gomega.Expect(syscall.Mkfifo(path, 0o600)).To(gomega.Succeed())
		exitCode := make(chan int, 1)
		var stdout, stderr bytes.Buffer
		go func() { exitCode <- commander.Main([]string{"serve", "-settings", path}, &stdout, &stderr) }()
		settings, openErr := os.OpenFile(path, os.O_WRONLY, 0) // Opening the FIFO blocks until the node opens it for reading.
		gomega.Expect(openErr).NotTo(gomega.HaveOccurred())
		gomega.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(gomega.Succeed())
		time.Sleep(50 * time.Millisecond)
		_, writeErr := settings.WriteString("{}")
		gomega.Expect(writeErr).NotTo(gomega.HaveOccurred())
		gomega.Expect(settings.Close()).To(gomega.Succeed())
		gomega.Eventually(exitCode, 2*time.Second).Should(gomega.Receive(gomega.Equal(commander.ExitFailure)))
		gomega.Expect(stderr.String()).To(gomega.ContainSubstring("name"))
	})
})
