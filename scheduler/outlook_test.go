package scheduler_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/scheduler"
)

// Guards against a question to a queue that takes a place in it, or that foresees another turn than the queue gives.
func TestForesee(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1000, 0)
	queue := scheduler.NewQueue()
	request := func(priority int, due time.Duration) scheduler.Request {
		return scheduler.Request{
			Tenant: "t", Route: "r", Rank: scheduler.Rank{Route: priority}, ArrivedAt: now, DueAt: now.Add(due), LatestStart: now.Add(time.Second),
		}
	}
	first := queue.Add(now, request(1, time.Second), 0)
	queue.Add(now, request(1, 2*time.Second), 0)
	for priority, before := range map[int]int{0: 0, 1: 1, 2: 2} {
		for range 3 {
			outlook := queue.Foresee(now, request(priority, 1500*time.Millisecond), time.Time{})
			g.Expect(outlook.Before).To(gomega.Equal(before), "priority %d", priority)
		}
	}
	g.Expect(queue.Len()).To(gomega.Equal(2))
	g.Expect(queue.Next(func(*scheduler.Ticket) bool { return true })).To(gomega.BeIdenticalTo(first))
	late := queue.Foresee(now.Add(time.Second), request(1, time.Second), time.Time{})
	g.Expect(late.Late).To(gomega.BeTrue())
	g.Expect(late.StartAt).NotTo(gomega.BeZero())
}
