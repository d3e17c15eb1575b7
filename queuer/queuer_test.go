package queuer

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

func enter(t *testing.T, q *Queuer, now time.Time, class, tenant string, weight float64) *Ticket {
	t.Helper()
	ticket, err := q.Enter(now, Request{Unit: "u", Class: class, Tenant: tenant, Weight: weight, Deadline: now.Add(time.Hour)})
	if err != nil {
		t.Fatal(err)
	}
	return ticket
}

func isGranted(ticket *Ticket) bool {
	select {
	case <-ticket.Granted():
		return true
	default:
		return false
	}
}

// TestLowClassIsNotStarved guards against starvation: with urgent requests always
// waiting, a batch request must be granted a slot soon after two aging steps.
func TestLowClassIsNotStarved(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	batch := enter(t, q, now, configreader.ClassBatch, "t", 1)
	began := now
	for !isGranted(batch) {
		enter(t, q, now, configreader.ClassUrgent, fmt.Sprint(now), 1)
		now = now.Add(100 * time.Millisecond)
		q.Release(now, "u")
		if now.Sub(began) > 3*agingStep {
			t.Fatalf("batch request still waits after %s, expected a grant within three aging steps", now.Sub(began))
		}
	}
	if now.Sub(began) < 2*agingStep {
		t.Fatalf("batch request was granted before urgent ones after %s, expected at least two aging steps", now.Sub(began))
	}
}

// TestTenantsShareByWeight queues requests of a tenant of weight 3 and one of weight
// 1; the grants must follow the weights.
func TestTenantsShareByWeight(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	var heavy, light []*Ticket
	for range 40 {
		heavy = append(heavy, enter(t, q, now, configreader.ClassNormal, "heavy", 3))
		light = append(light, enter(t, q, now, configreader.ClassNormal, "light", 1))
	}
	for range 40 {
		q.Release(now, "u")
	}
	count := func(tickets []*Ticket) (granted int) {
		for _, ticket := range tickets {
			if isGranted(ticket) {
				granted++
			}
		}
		return granted
	}
	if got := count(heavy); got < 28 || got > 32 {
		t.Fatalf("tenant of weight 3 got %d of 40 grants, expected 28 to 32", got)
	}
	if got := count(light); got == 0 {
		t.Fatal("tenant of weight 1 got 0 of 40 grants, expected some")
	}
}

// TestHopelessRequestIsRefusedAtOnce fills a queue that is granted one slot a second. A
// request that cannot be granted a slot before its deadline must be refused on entry;
// one of a higher class with the same deadline must be queued.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	q := New()
	for range 60 {
		enter(t, q, now, configreader.ClassNormal, "t", 1)
	}
	for range 30 {
		now = now.Add(time.Second)
		q.Release(now, "u")
	}
	_, err := q.Enter(now, Request{Unit: "u", Class: configreader.ClassNormal, Tenant: "t", Weight: 1, Deadline: now.Add(5 * time.Second)})
	var full *FullError
	if !errors.As(err, &full) || !full.RetryAt().After(now.Add(5*time.Second)) {
		t.Fatalf("request with 5 s left behind 30 others got %v, expected a FullError with a retry after its deadline", err)
	}
	if _, err := q.Enter(now, Request{Unit: "u", Class: configreader.ClassUrgent, Tenant: "t", Weight: 1, Deadline: now.Add(5 * time.Second)}); err != nil {
		t.Fatalf("urgent request, which goes first, was refused: %v", err)
	}
}
