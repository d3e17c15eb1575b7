// Package arrivalgenerator generates the request arrivals of a simulated open-loop load from
// a seed: Poisson arrivals with bursts, a rate that follows the time of day, routes
// with Zipf-distributed popularity, and routes that switch between active and idle.
package arrivalgenerator

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configreader"
)

// Parameters of the load.
const (
	// zipfExponent is the exponent of the popularity of routes over their ranks: a few routes get most
	// of the requests.
	zipfExponent = 1.1
	// togglesPerHour is the mean share of routes that become active or idle per hour.
	togglesPerHour = 0.17
	// activeShare is the mean share of routes that are active.
	activeShare = 0.35
	// burstShare is the share of arrivals that start a burst for their route.
	burstShare = 0.08
	// meanBurstLength is the mean number of requests in a burst after the first.
	meanBurstLength = 6
	// burstSpread is the time after the first request within which the rest of a burst arrives.
	burstSpread = 400 * time.Millisecond
	// dailyAmplitude is how far the rate goes above and below its mean over a day, as a share of the mean.
	dailyAmplitude = 0.6
	day            = 24 * time.Hour
)

// Arrival is one request to send.
type Arrival struct {
	// At is the request's time after the start of the load.
	At time.Duration
	// Number is unique in the load and counts from 1, in the order of creation; the later requests of a
	// burst are created with its first.
	Number int
	// Route is the name of the route.
	Route string
	// Class is the class of the route: urgent, normal or batch.
	Class string
	// Tenant is the name of the tenant.
	Tenant string
	// Node is the index of the receiving node, from 0 to Options.Nodes-1.
	Node int
	// Tokens is the length of the response in tokens, if the route is one of a model.
	Tokens int
	// Stream asks for a streamed response.
	Stream bool
}

// Prompt returns a prompt that is unique to the arrival and the seed. Prompts of
// the same route and tenant share a prefix.
func (a Arrival) Prompt(seed int64) string {
	return fmt.Sprintf("for %s by %s: item %d of load %d", a.Route, a.Tenant, a.Number, seed)
}

// Options describe a load.
type Options struct {
	// Seed determines the load, so that it can be repeated.
	Seed int64
	// Rate is the mean number of requests per second.
	Rate float64
	// Nodes is the number of nodes that receive requests; 0 counts as 1.
	Nodes int
	// StartOfDay is the time of day at the start of the load.
	StartOfDay time.Duration
	// Services includes the routes of services that are not models.
	Services bool
}

// routeState is a route with its popularity and its current state.
type routeState struct {
	route configreader.Route
	// weight is the route's popularity while it is active, relative to the other routes.
	weight float64
	active bool
	// toggleAt is when the route next becomes active or idle.
	toggleAt time.Duration
}

// Generator generates the arrivals of a load in the order of their time. It must not
// be used concurrently.
type Generator struct {
	options Options
	random  *rand.Rand
	routes  []*routeState
	tenants []string
	now     time.Duration
	// pending holds the later requests of bursts, sorted by time.
	pending []Arrival
	// number is the Number of the arrival created last.
	number int
}

// New returns a generator over the routes and tenants of a configuration, which
// must have at least one route to draw from. Popularity is assigned to routes at random.
func New(configuration *configreader.Configuration, options Options) *Generator {
	g := &Generator{options: options, random: rand.New(rand.NewSource(options.Seed))}
	configured := configuration.Routes()
	byRank := g.random.Perm(len(configured))
	for rank, index := range byRank {
		if configured[index].Service() != "" && !options.Services {
			continue
		}
		s := &routeState{route: configured[index], weight: 1 / math.Pow(float64(rank+1), zipfExponent), active: g.random.Float64() < activeShare}
		s.toggleAt = g.nextToggle(s)
		g.routes = append(g.routes, s)
	}
	for _, object := range configuration.Objects() {
		if object.Kind() == configreader.KindTenant {
			g.tenants = append(g.tenants, object.Name())
		}
	}
	if len(g.tenants) == 0 {
		g.tenants = []string{"tenant"}
	}
	return g
}

// nextToggle draws when a route next changes its state. The mean times in the two
// states are such that activeShare of all routes is active and togglesPerHour of
// them change state per hour.
func (g *Generator) nextToggle(s *routeState) time.Duration {
	share := activeShare
	if !s.active {
		share = 1 - activeShare
	}
	meanHours := 2 * share / togglesPerHour
	return g.now + time.Duration(g.random.ExpFloat64()*meanHours*float64(time.Hour))
}

// Next returns the next arrival. The load has no end.
func (g *Generator) Next() Arrival {
	next := g.now + g.interval()
	if len(g.pending) > 0 && g.pending[0].At <= next {
		arrival := g.pending[0]
		g.pending = g.pending[1:]
		g.now = arrival.At
		return arrival
	}
	g.now = next
	g.toggleRoutes()
	arrival := g.newArrival(g.pickRoute(), g.now)
	if g.random.Float64() < burstShare {
		g.addBurst(arrival)
	}
	return arrival
}

// interval draws the time until the next arrival that is not a later one of a burst.
// The rate is lowest at midnight and highest at noon.
func (g *Generator) interval() time.Duration {
	phase := 2 * math.Pi * float64(g.options.StartOfDay+g.now) / float64(day)
	rate := g.options.Rate * (1 - dailyAmplitude*math.Cos(phase)) / (1 + burstShare*meanBurstLength)
	return time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
}

// toggleRoutes changes the state of the routes whose toggleAt has passed.
func (g *Generator) toggleRoutes() {
	for _, s := range g.routes {
		if s.toggleAt <= g.now {
			s.active = !s.active
			s.toggleAt = g.nextToggle(s)
		}
	}
}

// idleWeightShare is the share of its popularity that a route keeps while idle.
const idleWeightShare = 0.01

// pickRoute draws a route, weighted by current popularity.
func (g *Generator) pickRoute() *routeState {
	total := 0.0
	for _, s := range g.routes {
		total += s.currentWeight()
	}
	remaining := g.random.Float64() * total
	for _, s := range g.routes {
		remaining -= s.currentWeight()
		if remaining <= 0 {
			return s
		}
	}
	return g.routes[len(g.routes)-1]
}

func (s *routeState) currentWeight() float64 {
	if s.active {
		return s.weight
	}
	return s.weight * idleWeightShare
}

// Lengths of responses in tokens, and the share of responses that are streamed.
const (
	minTokens     = 4
	meanTokens    = 24
	maxTokens     = 256
	streamedShare = 0.5
)

// newArrival creates an arrival for a route, with random tenant, node, length and
// streaming.
func (g *Generator) newArrival(s *routeState, at time.Duration) Arrival {
	g.number++
	tokens := minTokens + int(g.random.ExpFloat64()*meanTokens)
	return Arrival{
		At: at, Number: g.number, Route: s.route.Name(), Class: s.route.Class(),
		Tenant: g.tenants[g.random.Intn(len(g.tenants))], Node: g.random.Intn(max(g.options.Nodes, 1)),
		Tokens: min(tokens, maxTokens), Stream: g.random.Float64() < streamedShare,
	}
}

// addBurst adds the later requests of a burst to pending, for the route of the
// first and random tenants and nodes.
func (g *Generator) addBurst(first Arrival) {
	count := int(g.random.ExpFloat64() * meanBurstLength)
	for range count {
		at := first.At + time.Duration(g.random.Float64()*float64(burstSpread))
		for _, s := range g.routes {
			if s.route.Name() == first.Route {
				g.pending = append(g.pending, g.newArrival(s, at))
				break
			}
		}
	}
	sort.SliceStable(g.pending, func(i, j int) bool { return g.pending[i].At < g.pending[j].At })
}
