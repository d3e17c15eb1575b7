package forwarder

import (
	"net/http"
	"strings"
	"time"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/logger"
)

// Keys is what a forwarder needs to check callers' keys.
type Keys struct {
	// Fresh reports whether the configuration in force was the newest so lately that its keys may be accepted. Behind reports whether another node is
	// known to have a newer one.
	Fresh, Behind func() bool
	// ProofAge returns the time since the latest proof that the configuration was the newest, and whether there is one, for log lines.
	ProofAge func() (age time.Duration, proven bool)
	// Remove removes the key from a request's headers.
	Remove func(header http.Header)
}

// Credential is what a node that passes a request on tells of its caller: the tenant's name and the digest of the key. The zero value stands for
// none.
type Credential struct {
	tenant string
	digest cataloger.Digest
}

// NewCredential returns the credential of a request that was passed on. A digest of another length is that of no key.
func NewCredential(tenant string, digest []byte) Credential {
	credential := Credential{tenant: tenant}
	if len(digest) == len(credential.digest) {
		copy(credential.digest[:], digest)
	}
	return credential
}

// keyVerdict is the result of a check of a call's key.
type keyVerdict string

// Results of a check, as metrics name them.
const (
	// keyUnneeded means that the configuration has no tenants, keyPublic that the route needs no key.
	keyUnneeded keyVerdict = "unneeded"
	keyPublic   keyVerdict = "public"
	// keyAccepted means that a tenant has the key.
	keyAccepted keyVerdict = "accepted"
	// keyStale means that the configuration may be too old to accept keys.
	keyStale keyVerdict = "stale"
	// keyMissing and keyUnknown mean that there is no key, or that no tenant has it.
	keyMissing keyVerdict = "missing"
	keyUnknown keyVerdict = "unknown"
)

// UnclearedError reports that a request must not be sent to a worker, by the check just before its first byte.
type UnclearedError struct {
	// verdict is the result of the check of its key.
	verdict keyVerdict
}

// Error names the result.
func (e *UnclearedError) Error() string {
	return "the request must not be sent: its key is " + string(e.verdict)
}

// judgeKey checks a call's key by the newest configuration. If tenant is not empty, the key must be that of the tenant with this name.
func (f *Forwarder) judgeKey(c *call, tenant string) (verdict keyVerdict, name string) {
	catalog, verdict := f.judgeRoute(c)
	if verdict != "" {
		return verdict, ""
	}
	if c.KeyDigest.IsZero() {
		return keyMissing, ""
	}
	owner, found := catalog.Tenant(c.KeyDigest)
	if !found || tenant != "" && tenant != owner.Name {
		return keyUnknown, ""
	}
	return keyAccepted, owner.Name
}

// judgeRoute returns the result of a check of a call's key as far as it does not depend on the key, or an empty one and the configuration that must
// have the key.
func (f *Forwarder) judgeRoute(c *call) (catalog *cataloger.Catalog, verdict keyVerdict) {
	catalog = f.dependencies.Catalog()
	if catalog == nil && c.catalog.HasTenants() {
		return nil, keyStale
	}
	if catalog == nil || !catalog.HasTenants() {
		return nil, keyUnneeded
	}
	fresh := f.dependencies.Keys.Fresh()
	// Freshness is that of the newest configuration, so that the configuration is loaded after it.
	if catalog = f.dependencies.Catalog(); catalog == nil {
		return nil, keyStale
	}
	if c.isPublic(catalog) {
		return nil, keyPublic
	}
	if !fresh {
		return nil, keyStale
	}
	return catalog, ""
}

// isPublic reports whether a call needs no key by a configuration; a route that this does not have any more is judged as when the call arrived.
func (c *call) isPublic(catalog *cataloger.Catalog) bool {
	if catalog.Version() == c.catalog.Version() {
		return c.route.Public
	}
	path, _, _ := strings.Cut(c.Target, "?")
	if route, found := catalog.Find(c.Host, path); found {
		return route.Public
	}
	return c.route.Public
}

// admitKey checks the key of a request that has just arrived, or the credential with which another node passed it on, and removes the key from its
// headers.
func (f *Forwarder) admitKey(r *http.Request, c *call) error {
	if passedOn := carried(r).credential; !passedOn.digest.IsZero() {
		c.KeyDigest, c.Tenant = passedOn.digest, passedOn.tenant
	}
	verdict, err := f.checkKey(c)
	if verdict == keyUnneeded {
		return err
	}
	f.dependencies.Keys.Remove(r.Header)
	f.dependencies.Recorder.Count("keys " + string(verdict))
	f.logKeyRefusal(c, verdict, err)
	if err == nil && c.Tenant != "" {
		f.dependencies.Recorder.Count("requests of tenant " + c.Tenant)
	}
	return err
}

// recheckKey checks a call's key again before a worker is chosen for it.
func (f *Forwarder) recheckKey(c *call) error {
	verdict, err := f.checkKey(c)
	if err != nil {
		f.dependencies.Recorder.Count("keys refused later")
	}
	f.logKeyRefusal(c, verdict, err)
	return err
}

// logKeyRefusal logs why a call's key was refused with err, unless err is nil.
func (f *Forwarder) logKeyRefusal(c *call, verdict keyVerdict, err error) {
	if err == nil {
		return
	}
	age, proven := f.dependencies.Keys.ProofAge()
	logger.Info("key refused").Str("request", c.ID).Str("key", string(verdict)).Str("tenant", c.Tenant).Bool("behind", f.dependencies.Keys.Behind()).
		Bool("proven", proven).Int64("proof_ms", age.Milliseconds()).Bool("for_other", c.isCarried).Int("sends", c.sends).Int("runs", c.ledger.MayHaveRun()).
		Msg("key refused")
}

// checkKey checks a call's key, removes it from the headers that are sent on, and sets the call's tenant. The error is the one with which the call
// ends.
func (f *Forwarder) checkKey(c *call) (keyVerdict, error) {
	verdict, name := f.judgeKey(c, c.Tenant)
	if verdict != keyUnneeded && !c.keyRemoved {
		f.dependencies.Keys.Remove(c.Header)
		c.keyRemoved = true
	}
	if verdict == keyAccepted && c.Tenant == "" {
		c.Tenant = name
	}
	return verdict, f.keyError(c, verdict)
}

// keyError returns the error with which a call ends for the result of a check of its key; nil if it may be sent.
func (f *Forwarder) keyError(c *call, verdict keyVerdict) error {
	switch verdict {
	case keyStale:
		return c.refuse("keys_stale", "this node cannot show that its keys are recent enough; another may", configurationRetry)
	case keyMissing:
		return c.refuseKey("the route needs a key of a tenant")
	case keyUnknown:
		if f.dependencies.Keys.Behind() {
			return c.refuse("keys_stale", "the key is not known here, and another node has a newer configuration", configurationRetry)
		}
		return c.refuseKey("the key is of no tenant")
	default:
		return nil
	}
}

// refuseKey returns a 401 for a call that has not run, or a 502 if a send of it may have run.
func (c *call) refuseKey(message string) error {
	promise, err := c.ledger.Promise()
	if err != nil {
		return newFailure(http.StatusBadGateway, "broken", "an earlier attempt may have run: "+message)
	}
	return &FailureError{status: http.StatusUnauthorized, promise: promise, code: "unknown_key", message: message}
}

// newSendCheck returns the check of a call just before the first byte of a send. It may run beside the call's own goroutine, so that it changes
// nothing; the error is an *UnclearedError.
func (f *Forwarder) newSendCheck(c *call) func() error {
	tenant, keyRemoved := c.Tenant, c.keyRemoved
	return func() error {
		verdict, _ := f.judgeKey(c, tenant)
		isSendable := verdict == keyUnneeded || keyRemoved && (verdict == keyPublic || verdict == keyAccepted && tenant != "")
		if !isSendable {
			return &UnclearedError{verdict: verdict}
		}
		return nil
	}
}
