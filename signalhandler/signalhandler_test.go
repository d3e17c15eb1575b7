package signalhandler_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/signalhandler"
)

// TestEarlySignal sends SIGHUP before Notify is called. Without the package's
// initialisation the signal would end the test process.
func TestEarlySignal(t *testing.T) {
	gomega.RegisterTestingT(t)
	gomega.Expect(syscall.Kill(os.Getpid(), syscall.SIGHUP)).To(gomega.Succeed())
	time.Sleep(50 * time.Millisecond)
	signals := make(chan os.Signal, 4)
	stop := signalhandler.Notify(signals)
	defer stop()
	gomega.Eventually(signals, time.Second).Should(gomega.Receive(gomega.Equal(syscall.SIGHUP)))
}
