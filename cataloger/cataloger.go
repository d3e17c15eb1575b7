// Package cataloger holds one version of the configuration as requests need it:
// routes found by host and path, services, models and limits.
//
// A Catalog never changes after New, so it is shared without locks.
package cataloger

import (
	"sort"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Kind says what may be repeated on a route.
type Kind int

// The kinds of route.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = iota
	// KindOnce requests may run at most once for each attempt of a caller.
	KindOnce
	// KindStream answers are events; they count as KindOnce unless they may be resumed.
	KindStream
)

// Share is a service of a route with its part of the route's requests.
type Share struct {
	// Service names a service.
	Service string
	// Weight is relative to the other shares, at least 0.
	Weight float64
}

// Route maps a host and a path prefix to services.
type Route struct {
	// Name is unique.
	Name string
	// Host is compared without case; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// TimeoutMS is the longest time that a request may be kept, AimMS the time within which an answer is worth most,
	// GapMS the longest pause between two events of an answer that is worth most.
	TimeoutMS, AimMS, GapMS int64
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Shares has one entry, or several on a split route.
	Shares []Share
	// Attempts is the largest number of workers that may run one request, at least 1.
	Attempts int
	// Resumable streams may go on at another worker.
	Resumable bool
	// Sticky requests share prompt parts.
	Sticky bool
}

// Repeatable reports whether a request that may have run may be sent again.
func (r *Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Timeout returns the longest time that a request may be kept.
func (r *Route) Timeout() time.Duration { return time.Duration(r.TimeoutMS) * time.Millisecond }

// Aim returns the time within which an answer is worth most.
func (r *Route) Aim() time.Duration { return time.Duration(r.AimMS) * time.Millisecond }

// Callers abandon a stream after a gap of the longest of these.
const (
	leastPatience = 2 * time.Second
	aimPatience   = 4
	gapPatience   = 8
)

// Patience returns for how long callers of a stream wait for its next event.
func (r *Route) Patience() time.Duration {
	return max(leastPatience, aimPatience*r.Aim(), gapPatience*time.Duration(r.GapMS)*time.Millisecond)
}

// Service returns the service of one request; draw is uniform in [0, 1).
func (r *Route) Service(draw float64) string {
	total := lo.SumBy(r.Shares, func(share Share) float64 { return share.Weight })
	point := draw * total
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[0].Service
}

// Model is what a worker can load.
type Model struct {
	// Name is unique within its service.
	Name string
	// MemoryMB is the size of the weights, AdapterMB that of one adapter.
	MemoryMB, AdapterMB float64
	// StoreMS, DiskMS and WarmMS are the times of a load from the weight store, the worker's disk and its host memory.
	StoreMS, DiskMS, WarmMS float64
}

// Service is a set of workers that answer the same requests.
type Service struct {
	// Name is unique.
	Name string
	// Models is empty for plain services.
	Models map[string]Model
	// MemoryMB is a worker's room for weights and adapters; AdapterSlots bounds its adapters.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerS is how many loads from the weight store may begin in a second, over all workers.
	LoadsPerS float64
}

// RunsModels reports whether the service's workers load models.
func (s *Service) RunsModels() bool { return len(s.Models) > 0 }

// Limits bound what a caller may send.
type Limits struct {
	// BodyBytes bounds a request's body; 0 when not said.
	BodyBytes int
}

// Catalog is one version of the configuration.
type Catalog struct {
	// version only rises from one catalog in force to the next.
	version  int64
	limits   Limits
	services map[string]*Service
	// byHost holds the routes of each host in lower case, longest prefix first.
	byHost map[string][]*Route
}

// New returns the catalog of a version.
func New(version int64, routes []Route, services []Service, limits Limits) *Catalog {
	c := &Catalog{version: version, limits: limits, services: map[string]*Service{}, byHost: map[string][]*Route{}}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		c.byHost[host] = append(c.byHost[host], &routes[i])
	}
	for _, of := range c.byHost {
		sort.SliceStable(of, func(i, j int) bool { return len(of[i].Prefix) > len(of[j].Prefix) })
	}
	return c
}

// Version returns the catalog's version.
func (c *Catalog) Version() int64 { return c.version }

// Limits returns what a caller may send.
func (c *Catalog) Limits() Limits { return c.limits }

// Service returns a service by its name.
func (c *Catalog) Service(name string) (*Service, bool) {
	service, found := c.services[name]
	return service, found
}

// Services returns all services in the order of their names.
func (c *Catalog) Services() []*Service {
	all := lo.Values(c.services)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// Find returns the route with the longest prefix that begins the path.
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
