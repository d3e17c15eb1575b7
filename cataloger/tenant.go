package cataloger

import (
	"crypto/sha256"
	"fmt"
	"math"
	"sort"

	"github.com/samber/lo"
)

// Digest is the SHA-256 digest of a key. Keys themselves are not kept, so that none can reach a log line, a metric or another process.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// IsZero reports whether the digest is that of no key.
func (d Digest) IsZero() bool { return d == Digest{} }

// Tenant is a customer whose callers share an allowance.
type Tenant struct {
	// Name is unique among the tenants and not empty.
	Name string
	// Keys are the digests of the tenant's keys; it may have none.
	Keys []Digest
	// Priority is the rank of the tenant's requests; 0 is the highest. It goes before that of the route.
	Priority int
	// Metered is set if the allowance is counted in tokens, else in requests. PlainTokens is what a request without token counts costs then.
	Metered     bool
	PlainTokens int64
	// RatePerS and Burst are the allowance over all nodes, in tokens or requests; there is no limit if RatePerS is 0.
	RatePerS, Burst float64
}

// Limited reports whether the tenant has an allowance.
func (t *Tenant) Limited() bool { return t.RatePerS > 0 }

// Cost returns what a request costs of the allowance. Counted is set if the request names its tokens; a count below 0 stands for 0.
func (t *Tenant) Cost(promptTokens, maxResponseTokens int, counted bool) int64 {
	switch {
	case !t.Metered:
		return 1
	case counted:
		prompt, response := max(int64(promptTokens), 0), max(int64(maxResponseTokens), 0)
		return max(prompt+min(response, math.MaxInt64-prompt), 1)
	default:
		return max(t.PlainTokens, 1)
	}
}

// TenantError reports a fault of the tenants of a configuration.
type TenantError struct {
	// tenant is the name of the tenant, reason what is wrong with it.
	tenant, reason string
}

// Error names the tenant and the fault, never a key.
func (e *TenantError) Error() string {
	return fmt.Sprintf("tenant %q: %s", e.tenant, e.reason)
}

// SetTenants sets the tenants; it must be called before the catalog is shared. The error is a *TenantError, and the catalog is unchanged then.
func (c *Catalog) SetTenants(tenants []Tenant) error {
	byName, byKey := map[string]*Tenant{}, map[Digest]*Tenant{}
	for i := range tenants {
		tenant := &tenants[i]
		if _, twice := byName[tenant.Name]; twice {
			return &TenantError{tenant: tenant.Name, reason: "the name is used twice"}
		}
		if tenant.RatePerS < 0 || tenant.Burst < 0 || tenant.Priority < 0 {
			return &TenantError{tenant: tenant.Name, reason: "rate, burst and priority must not be negative"}
		}
		byName[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			if other, taken := byKey[key]; taken && other != tenant {
				return &TenantError{tenant: tenant.Name, reason: fmt.Sprintf("one of its keys belongs to tenant %q too", other.Name)}
			}
			byKey[key] = tenant
		}
	}
	c.tenants, c.tenantsByKey = byName, byKey
	return nil
}

// HasTenants reports whether callers need keys on routes that are not public.
func (c *Catalog) HasTenants() bool { return len(c.tenants) > 0 }

// Tenant returns the tenant that has a key, by the key's digest.
func (c *Catalog) Tenant(key Digest) (*Tenant, bool) {
	tenant, found := c.tenantsByKey[key]
	return tenant, found
}

// TenantByName returns a tenant by its name.
func (c *Catalog) TenantByName(name string) (*Tenant, bool) {
	tenant, found := c.tenants[name]
	return tenant, found
}

// Tenants returns all tenants ordered by name.
func (c *Catalog) Tenants() []*Tenant {
	tenants := lo.Values(c.tenants)
	sort.Slice(tenants, func(i, j int) bool { return tenants[i].Name < tenants[j].Name })
	return tenants
}
