package asker_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/acaciaproxy/acaciaproxy/asker"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

func TestAsker(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "asker")
}

// leader answers questions from memory.
type leader struct {
	nodewire.NodeClient
	// peek and ask are the answers to the two kinds of question, asked counts the second.
	peek, ask nodewire.Verdict
	asked     int
}

func (l *leader) Ask(_ context.Context, request *nodewire.AskRequest, _ ...grpc.CallOption) (*nodewire.AskReply, error) {
	if request.GetPeek() {
		return &nodewire.AskReply{Verdict: l.peek, Workers: []string{"own"}}, nil
	}
	l.asked++
	return &nodewire.AskReply{Verdict: l.ask, Workers: []string{"home"}}, nil
}

var _ = ginkgo.Describe("a cold unit", func() {
	wait := func(own, home *leader) (readyAt []string) {
		a := asker.New("n",
			func() (nodewire.NodeClient, error) { return own, nil }, func(string) (nodewire.NodeClient, error) { return home, nil },
			func(_ string, workers []string) { readyAt = workers }, func() int64 { return 1 })
		gomega.Expect(a.Wait(asker.Request{Unit: "u", Deadline: time.Now().Add(time.Second)})).To(gomega.Succeed())
		return readyAt
	}
	ginkgo.It("that is ready in the own zone is not asked of its home zone", func() {
		own, home := &leader{peek: nodewire.Verdict_VERDICT_READY}, &leader{ask: nodewire.Verdict_VERDICT_READY}
		gomega.Expect(wait(own, home)).To(gomega.Equal([]string{"own"}))
		gomega.Expect(home.asked).To(gomega.BeZero())
	})
	ginkgo.It("that is not is asked of its home zone", func() {
		own, home := &leader{peek: nodewire.Verdict_VERDICT_REFUSED}, &leader{ask: nodewire.Verdict_VERDICT_READY}
		gomega.Expect(wait(own, home)).To(gomega.Equal([]string{"home"}))
		gomega.Expect(own.asked).To(gomega.BeZero())
	})
})
