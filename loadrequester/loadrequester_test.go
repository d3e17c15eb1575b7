package loadrequester_test

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"google.golang.org/grpc"

	"github.com/acaciaproxy/acaciaproxy/loadrequester"
	"github.com/acaciaproxy/acaciaproxy/nodewire"
)

func TestLoadRequester(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "loadrequester")
}

// fakeLeader is the client of a leader that sends fixed replies.
type fakeLeader struct {
	nodewire.NodeClient
	// peekVerdict is the reply to calls with Peek set, askVerdict the reply to all others; asks counts the latter.
	peekVerdict, askVerdict nodewire.Verdict
	asks                    int
}

func (l *fakeLeader) Ask(_ context.Context, request *nodewire.AskRequest, _ ...grpc.CallOption) (*nodewire.AskReply, error) {
	if request.GetPeek() {
		return &nodewire.AskReply{Verdict: l.peekVerdict, Workers: []string{"own"}}, nil
	}
	l.asks++
	return &nodewire.AskReply{Verdict: l.askVerdict, Workers: []string{"home"}}, nil
}

var _ = ginkgo.Describe("a request that waits for a unit", func() {
	wait := func(localLeader, homeLeader *fakeLeader) (readyWorkers []string) {
		requester := loadrequester.New("n",
			func() (nodewire.NodeClient, error) { return localLeader, nil }, func(string) (nodewire.NodeClient, error) { return homeLeader, nil },
			func(_ string, workers []string) { readyWorkers = workers }, func() int64 { return 1 })
		gomega.Expect(requester.Wait(loadrequester.Request{Unit: "u", Deadline: time.Now().Add(time.Second)})).To(gomega.Succeed())
		return readyWorkers
	}
	ginkgo.It("does not ask the home zone's leader if the unit is ready in the local zone", func() {
		localLeader, homeLeader := &fakeLeader{peekVerdict: nodewire.Verdict_VERDICT_READY}, &fakeLeader{askVerdict: nodewire.Verdict_VERDICT_READY}
		gomega.Expect(wait(localLeader, homeLeader)).To(gomega.Equal([]string{"own"}))
		gomega.Expect(homeLeader.asks).To(gomega.BeZero())
	})
	ginkgo.It("asks the home zone's leader if the unit is not ready in the local zone", func() {
		localLeader, homeLeader := &fakeLeader{peekVerdict: nodewire.Verdict_VERDICT_REFUSED}, &fakeLeader{askVerdict: nodewire.Verdict_VERDICT_READY}
		gomega.Expect(wait(localLeader, homeLeader)).To(gomega.Equal([]string{"home"}))
		gomega.Expect(localLeader.asks).To(gomega.BeZero())
	})
})
