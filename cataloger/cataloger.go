// Package cataloger indexes one version of the configuration for serving requests:
// routes by host and path, services, models and limits.
//
// A Catalog is immutable after New, so goroutines share it without locks.
package cataloger

import (
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Kind is the kind of a route, which decides whether its requests may be retried.
type Kind int

// Kinds of routes.
const (
	// KindIdempotent is for requests that may run more than once.
	KindIdempotent Kind = iota
	// KindOnce is for requests that may run at most once for each attempt of a caller.
	KindOnce
	// KindStream is for requests whose response is a stream of events; unless the route is resumable, they may run at most
	// once too.
	KindStream
)

// Share is a service of a route and its share of the route's requests.
type Share struct {
	// Service is the name of the service.
	Service string
	// Weight is the share relative to the route's other weights, at least 0.
	Weight float64
}

// Route maps a host and a path prefix to services, and says how their requests are handled.
type Route struct {
	// Name is unique among the routes.
	Name string
	// Host is compared case-insensitively and holds no port; Prefix begins and ends with a slash.
	Host, Prefix string
	// Kind decides whether requests may be retried.
	Kind Kind
	// TimeoutMS is the longest time that a request may take, TargetLatencyMS the target latency of a response,
	// TargetGapMS the target for the time between two events of a stream; all in milliseconds.
	TimeoutMS, TargetLatencyMS, TargetGapMS int64
	// Priority is the rank of the route's requests; 0 is the highest.
	Priority int
	// Shares has one entry, or several when the route splits its requests among services.
	Shares []Share
	// MaxAttempts is the largest number of runs of one request, at least 1.
	MaxAttempts int
	// Resumable is set when another worker may continue an interrupted stream.
	Resumable bool
	// Sticky is set when requests often share parts of their prompts.
	Sticky bool
	// Public is set when requests need no key although the configuration has tenants.
	Public bool
}

// Retryable reports whether a request may be retried although it may have run already.
func (r *Route) Retryable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Timeout returns the longest time that a request may take.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// TargetLatency returns the target latency of a response.
func (r *Route) TargetLatency() time.Duration {
	return time.Duration(r.TargetLatencyMS) * time.Millisecond
}

// Callers abandon a stream when no event arrives for the longest of minEventTimeout,
// latencyMultiple times TargetLatencyMS and gapMultiple times TargetGapMS.
const (
	minEventTimeout = 2 * time.Second
	latencyMultiple = 4
	gapMultiple     = 8
)

// EventTimeout returns how long callers of a stream wait for its next event before they abandon it.
func (r *Route) EventTimeout() time.Duration {
	return max(minEventTimeout, latencyMultiple*r.TargetLatency(), gapMultiple*time.Duration(r.TargetGapMS)*time.Millisecond)
}

// Service returns the name of the service for one request, chosen by weight; draw is a uniform random number in [0, 1).
// The result is empty if the route has no shares.
func (r *Route) Service(draw float64) string {
	total := lo.SumBy(r.Shares, func(share Share) float64 { return share.Weight })
	remaining := draw * total
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// Model is a model that workers of a service can load.
type Model struct {
	// Name is unique within its service.
	Name string
	// MemoryMB is the accelerator memory that the weights need, AdapterMB that of one adapter.
	MemoryMB, AdapterMB float64
	// HasAdapter reports whether the model has an adapter of that name; nil if the configuration does not say which it has.
	HasAdapter func(name string) bool
	// StoreMS, DiskMS and MemoryMS are the durations of a load from the weight store, the worker's disk and its host memory, in
	// milliseconds.
	StoreMS, DiskMS, MemoryMS float64
}

// Service is a set of workers that serve the same requests.
type Service struct {
	// Name is unique among the services.
	Name string
	// Models holds the models by name; it is empty for services whose workers load no models.
	Models map[string]Model
	// MemoryMB is the accelerator memory of each worker for weights and adapters, AdapterSlots the largest number of
	// adapters that it may have loaded.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerS is how many loads from the weight store may begin per second, over all workers.
	LoadsPerS float64
}

// RunsModels reports whether the workers of the service load models.
func (s *Service) RunsModels() bool { return len(s.Models) > 0 }

// Limits bound the requests of callers; a limit is 0 when the configuration sets none.
type Limits struct {
	// HeaderBytes is the largest size of a request's line and headers, BodyBytes that of its body.
	HeaderBytes, BodyBytes int
	// HeaderTimeoutMS is the longest time in which the headers must arrive, IdleTimeoutMS the longest time between two requests of a
	// connection, both in milliseconds.
	HeaderTimeoutMS, IdleTimeoutMS int64
}

// Catalog is one version of the configuration, indexed by host and by name of service.
type Catalog struct {
	// version increases from one catalog in force to the next.
	version  int64
	limits   Limits
	services map[string]*Service
	// byHost holds the routes by host in lower case, the longest prefix first.
	byHost map[string][]*Route
	// tenants holds the tenants by name, tenantsByKey by the digests of their keys. Both are nil unless SetTenants was called.
	tenants      map[string]*Tenant
	tenantsByKey map[Digest]*Tenant
}

// New returns a catalog without tenants; it keeps references to the routes and services.
func New(version int64, routes []Route, services []Service, limits Limits) *Catalog {
	c := &Catalog{version: version, limits: limits, services: map[string]*Service{}, byHost: map[string][]*Route{}}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, hostRoutes := range c.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].Prefix) > len(hostRoutes[j].Prefix) })
	}
	return c
}

// Version returns the version of the configuration.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns the limits of requests.
func (c *Catalog) Limits() Limits { return c.limits }

// Service returns a service by its name.
func (c *Catalog) Service(name string) (*Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns all services ordered by name.
func (c *Catalog) Services() []*Service {
	services := lo.Values(c.services)
	sort.Slice(services, func(i, j int) bool { return services[i].Name < services[j].Name })
	return services
}

// Route returns a route by its name.
func (c *Catalog) Route(name string) (*Route, bool) {
	for _, hostRoutes := range c.byHost {
		for _, route := range hostRoutes {
			if route.Name == name {
				return route, true
			}
		}
	}
	return nil, false
}

// Find returns the route of a host, with or without a port, that has the longest prefix of the path.
func (c *Catalog) Find(host, path string) (*Route, bool) {
	if name, _, hasPort := strings.Cut(host, ":"); hasPort {
		host = name
	}
	for _, route := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return nil, false
}
