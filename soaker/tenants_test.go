package soaker

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// deliver makes a stand-in worker run an attempt that carries a key and a tenant header; it returns the record.
func deliver(id, key, tenant string) *fleetstandin.Record {
	record := fleetstandin.NewRecord(time.Now)
	server := httptest.NewServer(fleetstandin.NewWorker("w1", "plain", "a", 0, nil, nil, record))
	defer server.Close()
	fleetstandin.SendAttempt(server.Client(), server.Listener.Addr().String(), fleetstandin.Attempt{
		Kind: fleetstandin.KindOnce, Path: "/once/x", ID: id, Key: key, ForgedTenant: tenant, Timeout: time.Second,
	})
	return record
}

// Guards against checks of tenants' soaks that cannot fail: each case is a recorded breach, or the same without it.
func TestTenantChecks(t *testing.T) {
	now := time.Now()
	valid := &tenantKey{tenant: "ample", text: "k1", givenAt: now.Add(-time.Minute)}
	withdrawnAt := func(at time.Time) *tenantKey {
		return &tenantKey{tenant: "ample", text: "k2", givenAt: now.Add(-time.Minute), leavingAt: at, withdrawnAt: at}
	}
	withdrawn, recent := withdrawnAt(now.Add(-revoke-time.Millisecond)), withdrawnAt(now.Add(-revoke))
	early := &tenantKey{tenant: "ample", text: "k4", givenAt: now.Add(-revoke + time.Millisecond)}
	keyed := credential{keyed: true, key: valid}
	for _, example := range []struct {
		name       string
		credential credential
		// sent and tenant are the key and the tenant header that reach the worker, or empty.
		sent, tenant string
		status       int
		// breach begins the breach; empty for none.
		breach string
	}{
		{name: "a key reaches a worker", credential: keyed, sent: "k1", tenant: "ample", breach: "KEY: "},
		{name: "another tenant's name", credential: keyed, tenant: "tight", breach: "TENANT: "},
		{name: "no tenant's name", credential: keyed, breach: "TENANT: "},
		{name: "a tenant's name on a public route", credential: credential{key: valid}, tenant: "ample", breach: "TENANT: "},
		{name: "an unknown key runs", credential: credential{keyed: true, text: unknownKey}, breach: "KEY: "},
		{name: "a withdrawn key runs", credential: credential{keyed: true, key: withdrawn}, tenant: "ample", breach: "REVOKED: "},
		{name: "a valid key is refused", credential: keyed, tenant: "ample", status: http.StatusUnauthorized, breach: "DENIED: "},
		{name: "a public route asks for a key", credential: credential{}, status: http.StatusUnauthorized, breach: "DENIED: "},
		{name: "a valid key", credential: keyed, tenant: "ample"},
		{name: "a key that was withdrawn just now runs", credential: credential{keyed: true, key: recent}, tenant: "ample"},
		{name: "a key withdrawn just now is refused", credential: credential{keyed: true, key: recent}, tenant: "ample", status: 401},
		{name: "a key given out just now is refused", credential: credential{keyed: true, key: early}, tenant: "ample", status: 401},
		{name: "a public route", credential: credential{key: valid, forged: "tight"}},
	} {
		t.Run(example.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			a := &attempt{id: "c0-1", kind: fleetstandin.KindOnce, node: &node{name: "a1"}, sentAt: now, endedAt: now, credential: example.credential}
			a.result.Status = example.status
			c := &callers{environment: &environment{record: deliver(a.id, example.sent, example.tenant), tenants: newTenantKeys(0)}, attempts: []*attempt{a}}
			if example.breach == "" {
				g.Expect(c.checkTenants()).To(gomega.BeEmpty())
				return
			}
			g.Expect(c.checkTenants()).To(gomega.ConsistOf(gomega.HavePrefix(example.breach)))
		})
	}
}

// Guards against a check of rate limits that cannot fail, and against one that counts runs whose tokens may have been taken outside the window.
func TestQuotaCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Now()
	tenant := fleetstandin.Tenant{Name: "tight", RatePerS: 600, Burst: 600} // 6,940 tokens in 8 s.
	runs := func(tokens int, sent, ran time.Duration) []tenantRun {
		return []tenantRun{{sentAt: start, ranAt: start, tokens: 6000}, {sentAt: start.Add(sent), ranAt: start.Add(ran), tokens: tokens}}
	}
	g.Expect(checkQuota(tenant, runs(941, 7*time.Second, 8*time.Second))).To(gomega.ConsistOf(gomega.HavePrefix("QUOTA: ")))
	g.Expect(checkQuota(tenant, runs(940, 7*time.Second, 8*time.Second))).To(gomega.BeEmpty())
	g.Expect(checkQuota(tenant, runs(941, 7*time.Second, 8*time.Second+time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(checkQuota(fleetstandin.Tenant{Name: "unlimited"}, runs(9000, 0, 0))).To(gomega.BeEmpty())
	g.Expect(checkQuota(tenant, nil)).To(gomega.BeEmpty())
}

// Guards against a check of the tenants' limit that the soak's own load could never fail: runs of a tenant are found by the callers' keys.
func TestRunsOfTenant(t *testing.T) {
	g := gomega.NewWithT(t)
	record := deliver("c0-1", "", "tight")
	key := &tenantKey{tenant: "tight"}
	attempts := []*attempt{{id: "c0-1", credential: credential{keyed: true, key: key}}, {id: "c0-2", credential: credential{key: key}}}
	runs := runsOf("tight", record, attempts)
	g.Expect(runs).To(gomega.HaveLen(1))
	g.Expect(runs[0].tokens).To(gomega.Equal(fleetstandin.PlainTokens))
}

// Guards against a check of requests without the ends of their bodies that cannot fail.
func TestShortCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	short := &attempt{kind: fleetstandin.KindOnce}
	for status, runs := range map[int][]string{http.StatusOK: nil, http.StatusRequestTimeout: {"w1"}, http.StatusServiceUnavailable: {"w1"}} {
		short.result.Status = status
		g.Expect(shortBreach(short, runs)).NotTo(gomega.BeEmpty())
	}
	short.result.Status = http.StatusRequestTimeout
	g.Expect(shortBreach(short, nil)).To(gomega.BeEmpty())
}

// Guards against a withdrawal that leaves the key in the configuration, and a load that sends no key of some kind.
func TestTenantKeys(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := newTenantKeys(7)
	removed := keys.remove("ample")
	g.Expect(keys.configured()[2].Keys).To(gomega.HaveLen(initialKeys - 1))
	g.Expect(keys.configured()[2].Keys).NotTo(gomega.ContainElement(removed.text))
	keys.acknowledge(&removed.withdrawnAt)
	random := rand.New(rand.NewPCG(7, 7))
	seen := map[string]bool{}
	for range 500 {
		drawn := keys.draw(random)
		switch {
		case !drawn.keyed:
			seen["public"] = true
		case drawn.key == removed:
			seen["withdrawn"] = true
		case drawn.key != nil:
			seen[drawn.tenant()] = true
		case drawn.text == unknownKey:
			seen["unknown"] = true
		case drawn.text == "":
			seen["none"] = true
		}
	}
	g.Expect(seen).To(gomega.HaveLen(4 + len(soakTenants)))
	g.Expect((*tenantKeys)(nil).draw(random)).To(gomega.Equal(credential{}))
}
