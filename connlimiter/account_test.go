package connlimiter_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// newBodies returns an account of bodies of 12 MB.
func newBodies() *connlimiter.Account {
	limits := func() connlimiter.HeadLimits { return connlimiter.HeadLimits{} }
	return connlimiter.New(connlimiter.Host{Memory: 1 << 20}, limits, func(string) {}).Bodies()
}

// stalledBody is a body that blocks after its content until it is stopped.
type stalledBody struct {
	content io.Reader
	stopped chan struct{}
}

func (b *stalledBody) Read(data []byte) (int, error) {
	if n, err := b.content.Read(data); err == nil {
		return n, nil
	}
	<-b.stopped
	return 0, errors.New("stopped")
}

// TestReadAll guards against bodies that are cut off or taken as whole.
func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 8192, 100000, 1 << 20} {
		content := bytes.Repeat([]byte("x"), size)
		for _, expected := range []int64{-1, int64(size)} {
			for _, read := range []func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.HalfReader, iotest.DataErrReader} {
				g := gomega.NewWithT(t)
				bodies := newBodies()
				held := bodies.Hold(func() {})
				body, err := held.ReadAll(read(bytes.NewReader(content)), expected, size, time.Time{})
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(body).To(gomega.HaveLen(size))
				g.Expect(bodies.Taken()).To(gomega.BeNumerically(">=", size-4096))
				held.Release()
				g.Expect(bodies.Taken()).To(gomega.BeZero())
				if size > 0 {
					_, err = held.ReadAll(read(bytes.NewReader(content)), -1, size-1, time.Time{})
					var large *connlimiter.LargeError
					g.Expect(errors.As(err, &large)).To(gomega.BeTrue())
					g.Expect(bodies.Taken()).To(gomega.BeZero())
				}
			}
		}
	}
}

// TestStalled guards against bodies that stop short of their end and keep the space from others that arrive, and against the end of those that
// arrive.
func TestStalled(t *testing.T) {
	g := gomega.NewWithT(t)
	bodies := newBodies()
	var ends sync.WaitGroup
	var stalled atomic.Int64
	for range 100 { // 128 KB of each are all of the space and more.
		ends.Go(func() {
			body := &stalledBody{content: bytes.NewReader(make([]byte, 130000)), stopped: make(chan struct{})}
			_, err := bodies.Hold(func() { close(body.stopped) }).ReadAll(body, 140000, 1<<20, time.Now().Add(3*time.Second))
			var end *connlimiter.StalledError
			if errors.As(err, &end) {
				stalled.Add(1)
			}
		})
	}
	time.Sleep(700 * time.Millisecond)
	for range 10 {
		held := bodies.Hold(func() { t.Error("a body that arrives was ended") })
		body, err := held.ReadAll(bytes.NewReader(make([]byte, 1<<20)), -1, 1<<20, time.Now().Add(3*time.Second))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.HaveLen(1 << 20))
	}
	g.Expect(stalled.Load()).To(gomega.BeNumerically(">=", 70))
}

// TestFull guards against bodies that wait for space for ever.
func TestFull(t *testing.T) {
	g := gomega.NewWithT(t)
	bodies := newBodies()
	whole := bodies.Hold(func() { t.Error("a whole body was ended") })
	_, err := whole.ReadAll(bytes.NewReader(make([]byte, 12<<20)), 12<<20, 12<<20, time.Time{})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	began := time.Now()
	_, err = bodies.Hold(func() {}).ReadAll(bytes.NewReader(make([]byte, 1<<20)), -1, 1<<20, began.Add(200*time.Millisecond))
	var full *connlimiter.FullError
	g.Expect(errors.As(err, &full)).To(gomega.BeTrue())
	g.Expect(full.RetryMS()).To(gomega.BeNumerically(">", 0))
	g.Expect(time.Since(began)).To(gomega.And(gomega.BeNumerically(">", 150*time.Millisecond), gomega.BeNumerically("<", time.Second)))
	time.AfterFunc(100*time.Millisecond, whole.Release)
	_, err = bodies.Hold(func() {}).ReadAll(bytes.NewReader(make([]byte, 1<<20)), -1, 1<<20, time.Now().Add(2*time.Second))
	g.Expect(err).NotTo(gomega.HaveOccurred())
}
