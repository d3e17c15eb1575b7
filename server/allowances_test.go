package server

import (
	"context"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/quotakeeper"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
)

// TestAllowancesWithoutLease guards against a node that grants tokens without its zone's lease, to others or to itself.
func TestAllowancesWithoutLease(t *testing.T) {
	const text = `{"name":"n","zone":"a","zones":"a,b","form":"fleet","callers":"127.0.0.1:1","ready":"127.0.0.1:2","nodes":"127.0.0.1:3",
		"operators":"127.0.0.1:4","platform":"127.0.0.1:5","drain":4,"quiet":0}`
	settings, err := settingsreader.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	node, err := NewFleetNode(settings)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, leading := node.allowances.leadingAt(); leading {
		t.Error("a node without a lease leads")
	}
	node.allowances.run()
	defer node.allowances.stop()
	tenant := &cataloger.Tenant{Name: "t", RatePerS: 1000, Burst: 1000}
	for range 3 {
		_, result, _ := node.allowances.take(context.Background(), tenant, 10, time.Now().Add(100*time.Millisecond))
		if result != quotakeeper.Unknown {
			t.Errorf("without a leader, a request's tokens are %s, not unknown", result)
		}
	}
}
