package soaker

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Settings of the nodes in soaks with tenants.
const (
	// revoke is how long after the acknowledgement of a configuration that takes a key away requests sent with it may still run.
	revoke         = 3 * time.Second
	quotaWindow    = 8 * time.Second
	quotaOvershoot = 0.1
	// quotaSlack is small beside what callers send: with no limit at all they use more than twice what is allowed to tightTenant.
	quotaSlack = 1000
)

// tightTenant has a limit far below what its callers send.
const tightTenant = "tight"

// soakTenants are the tenants without their keys. Half have no limit: while the store is away, a missing leader refuses the requests of
// the others, whatever their keys.
var soakTenants = []fleetstandin.Tenant{
	{Name: "unlimited", Priority: 2},
	{Name: "other"},
	{Name: "ample", RatePerS: 40000, Burst: 40000},
	{Name: tightTenant, Priority: 1, RatePerS: 600, Burst: 600},
}

// hasTenants reports whether soaks of a seed have tenants: two of seven seeds do.
func hasTenants(seed uint64) bool { return seed%7%5 == 0 }

// tenantKey is a key of a tenant.
type tenantKey struct {
	tenant, text string
	// givenAt is when a configuration with the key was acknowledged, leavingAt when the write of one without it began,
	// withdrawnAt when that was acknowledged; zero before.
	givenAt, leavingAt, withdrawnAt time.Time
}

// validThroughout reports whether every node that accepts keys must know the key from one time to another.
func (k *tenantKey) validThroughout(from, to time.Time) bool {
	return !k.givenAt.IsZero() && from.Sub(k.givenAt) >= revoke && (k.leavingAt.IsZero() || to.Before(k.leavingAt))
}

// tenantKeys holds all keys that tenants have or had. It is safe for concurrent use; without tenants it is nil.
type tenantKeys struct {
	seed uint64
	// mu guards keys and the times of each.
	mu   sync.Mutex
	keys []*tenantKey
}

// initialKeys is how many keys each tenant has at the start.
const initialKeys = 2

func newTenantKeys(seed uint64) *tenantKeys {
	t := &tenantKeys{seed: seed}
	for _, tenant := range soakTenants {
		for range initialKeys {
			t.add(tenant.Name).givenAt = time.Now().Add(-revoke) // No node knows an earlier configuration.
		}
	}
	return t
}

// add adds a key of a tenant to the next configuration.
func (t *tenantKeys) add(tenant string) *tenantKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := &tenantKey{tenant: tenant, text: fmt.Sprintf("key-%d-%s-%d", t.seed, tenant, len(t.keys))}
	t.keys = append(t.keys, key)
	return key
}

// remove takes the oldest key of a tenant out of the next configuration; it returns nil if the tenant has none.
func (t *tenantKeys) remove(tenant string) *tenantKey {
	t.mu.Lock()
	defer t.mu.Unlock()
	key, found := lo.Find(t.keys, func(k *tenantKey) bool { return k.tenant == tenant && !k.givenAt.IsZero() && k.leavingAt.IsZero() })
	if !found {
		return nil
	}
	key.leavingAt = time.Now()
	return key
}

// acknowledge sets one of a key's times to now.
func (t *tenantKeys) acknowledge(at *time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	*at = time.Now()
}

// configured returns the tenants with the keys of the next configuration.
func (t *tenantKeys) configured() []fleetstandin.Tenant {
	if t == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return lo.Map(soakTenants, func(tenant fleetstandin.Tenant, _ int) fleetstandin.Tenant {
		tenant.Keys = lo.FilterMap(t.keys, func(k *tenantKey, _ int) (string, bool) {
			return k.text, k.tenant == tenant.Name && k.leavingAt.IsZero()
		})
		return tenant
	})
}

// settings returns the members of a node's settings that concern tenants.
func (t *tenantKeys) settings() string {
	if t == nil {
		return ""
	}
	return fmt.Sprintf(`,"revoke":%d,"quotawindow":%g,"quotaovershoot":%g,"quotaslack":%d,"zones":"a,b"`,
		revoke.Milliseconds(), quotaWindow.Seconds(), quotaOvershoot, quotaSlack)
}

// startWithdrawal starts an action in which a tenant loses a key. It gets another one in the same version or up to maxKeyPause later.
func (s *schedule) startWithdrawal() {
	e := s.environment
	if e.tenants == nil || !strings.HasPrefix("key withdrawn", s.namePrefix) {
		return
	}
	tenant := soakTenants[s.withdrawals.IntN(len(soakTenants))].Name
	pause := time.Duration(s.withdrawals.Int64N(int64(maxKeyPause)))
	atOnce := s.withdrawals.IntN(2) == 0
	s.startReserved(action{name: "key withdrawn from " + tenant, owner: tenant, planned: true, run: func() {
		removed := e.tenants.remove(tenant)
		if removed == nil {
			return
		}
		if !atOnce {
			e.publishVersion()
			e.tenants.acknowledge(&removed.withdrawnAt)
			time.Sleep(pause)
		}
		added := e.tenants.add(tenant)
		e.publishVersion()
		e.tenants.acknowledge(&added.givenAt)
		if atOnce {
			e.tenants.acknowledge(&removed.withdrawnAt)
		}
	}})
}

const maxKeyPause = 4 * time.Second

// credential is what an attempt carries that concerns tenants.
type credential struct {
	// keyed is set for a route that needs a key; key is the one that is sent, nil if none or unknownKey is.
	keyed bool
	key   *tenantKey
	// text is the key that is sent, forged a tenant header; neither is sent if it is empty.
	text, forged string
	// tokens is the number of tokens that the attempt names; 0 if it names none.
	tokens int
	// readPause is that of a slow reader, or 0.
	readPause time.Duration
}

// Shares of the attempts in tenants' soaks, in twentieths, and what they carry.
const (
	unknownShare   = 1 // and as many without a key
	withdrawnShare = 4
	publicShare    = 4
	forgedEvery    = 4
	slowEvery      = 8
	slowReadPause  = 20 * time.Millisecond
	minTokens      = 100
	maxTokens      = 700
	plainEvery     = 5 // names no tokens
	// lastWithdrawn is how many of the keys that were withdrawn last are still sent.
	lastWithdrawn = 6
	unknownKey    = "key-of-no-tenant"
)

// draw returns what one attempt carries.
func (t *tenantKeys) draw(random *rand.Rand) credential {
	if t == nil {
		return credential{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tenant := soakTenants[random.IntN(len(soakTenants))].Name
	valid := lo.Filter(t.keys, func(k *tenantKey, _ int) bool {
		return k.tenant == tenant && !k.givenAt.IsZero() && k.leavingAt.IsZero()
	})
	withdrawn := lo.Filter(t.keys, func(k *tenantKey, _ int) bool { return !k.withdrawnAt.IsZero() })
	slices.SortFunc(withdrawn, func(a, b *tenantKey) int { return a.withdrawnAt.Compare(b.withdrawnAt) })
	withdrawn = withdrawn[max(0, len(withdrawn)-lastWithdrawn):]
	drawn := credential{keyed: true, tokens: minTokens + random.IntN(maxTokens-minTokens)}
	if random.IntN(plainEvery) == 0 {
		drawn.tokens = 0
	}
	if random.IntN(forgedEvery) == 0 {
		drawn.forged = soakTenants[random.IntN(len(soakTenants))].Name
	}
	if random.IntN(slowEvery) == 0 {
		drawn.readPause = slowReadPause
	}
	share, from := random.IntN(20), valid
	switch {
	case share < unknownShare:
		drawn.text = unknownKey
		return drawn
	case share < 2*unknownShare:
		return drawn
	case share < 2*unknownShare+withdrawnShare:
		from = withdrawn
	case share < 2*unknownShare+withdrawnShare+publicShare:
		drawn.keyed = false
	}
	if len(from) > 0 {
		drawn.key = from[random.IntN(len(from))]
		drawn.text = drawn.key.text
	}
	return drawn
}

// apply returns the attempt with the credential.
func (c *credential) apply(attempt fleetstandin.Attempt) fleetstandin.Attempt {
	if c.keyed {
		attempt.Path = fleetstandin.KeyedPath(attempt.Kind)
	}
	attempt.Key, attempt.ForgedTenant, attempt.Tokens, attempt.ReadPause = c.text, c.forged, c.tokens, c.readPause
	return attempt
}

// tenant returns the tenant whose name workers must get, or an empty string.
func (c *credential) tenant() string {
	if !c.keyed || c.key == nil {
		return ""
	}
	return c.key.tenant
}

// A crowd of crowdSize callers stops short of the ends of their bodies and waits for shortTime; the next one follows after shortPause.
const (
	crowdSize  = 16
	shortTime  = 3 * time.Second
	shortPause = time.Second
)

// stopShort sends crowds of requests without the ends of their bodies until the load is stopped.
func (c *callers) stopShort(random *rand.Rand) {
	defer c.running.Done()
	for number := 0; c.environment.tenants != nil && c.sleep(shortPause); number++ {
		var crowd sync.WaitGroup
		sent := make([]*attempt, 0, crowdSize)
		for i := range crowdSize {
			n := c.pick(random)
			a := &attempt{id: fmt.Sprintf("short%d-%d", number, i), kind: fleetstandin.KindOnce, node: n, credential: c.environment.tenants.draw(random)}
			a.sentAt = time.Now()
			sent = append(sent, a)
			crowd.Go(func() {
				a.result.Status = fleetstandin.SendShort(n.callerAddress, a.credential.apply(fleetstandin.Attempt{
					Kind: a.kind, Path: "/once/x", ID: a.id, Body: bodyOf(a.id, longBodyEvery), Timeout: requestTimeout,
				}), time.Now().Add(shortTime))
				a.endedAt = time.Now()
			})
		}
		crowd.Wait()
		c.mu.Lock()
		c.short = append(c.short, sent...)
		c.mu.Unlock()
	}
}

// mayBeRefused reports whether a refusal of an attempt is what its key or its tenant's limit asks for.
func (a *attempt) mayBeRefused() bool {
	c := &a.credential
	return c.keyed && (c.key == nil || c.key.tenant == tightTenant || !c.key.validThroughout(a.sentAt, a.endedAt))
}
