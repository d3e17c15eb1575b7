// Package arriver draws the requests of a deployment: seeded, open loop,
// bursty, with Zipf-like popularity, a daily rhythm, and routes that wake up
// and fall idle.
package arriver

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"time"

	"github.com/acaciaproxy/acaciaproxy/configurer"
)

// Shape of the load.
const (
	// zipfExponent makes few routes popular and most of them rare.
	zipfExponent = 1.1
	// flipsPerHour is the share of routes that wake up or fall idle within an hour.
	flipsPerHour = 0.17
	// awakeShare is the share of routes that are awake at any time.
	awakeShare = 0.35
	// burstShare is the share of arrivals that start a burst for their route.
	burstShare = 0.08
	// meanBurst is the mean number of further requests in a burst.
	meanBurst = 6
	// burstSpread is the time within which a burst arrives.
	burstSpread = 400 * time.Millisecond
	// dailySwing is how far the rate swings around its mean over a day.
	dailySwing = 0.6
	day        = 24 * time.Hour
)

// Arrival is one request to send.
type Arrival struct {
	// At is the time after the start of the load.
	At time.Duration
	// Number counts the arrivals of the load.
	Number int
	// Route is the route's name.
	Route string
	// Class is the request's class.
	Class string
	// Tenant is the caller's name.
	Tenant string
	// Node is the place of the node among those that take requests.
	Node int
	// Tokens is the length of the answer of a model route.
	Tokens int
	// Stream is set when the answer is streamed.
	Stream bool
}

// Prompt returns a text that is unique for the arrival and shares its
// beginning with others of the same route and tenant.
func (a Arrival) Prompt(seed int64) string {
	return fmt.Sprintf("for %s by %s: item %d of load %d", a.Route, a.Tenant, a.Number, seed)
}

// Options describe a load.
type Options struct {
	Seed int64
	// Rate is the mean number of requests a second.
	Rate float64
	// Nodes is how many nodes take requests.
	Nodes int
	// StartOfDay is the time of day at the start of the load.
	StartOfDay time.Duration
	// Services includes the routes of plain services.
	Services bool
}

// source is one route with its popularity.
type source struct {
	route  configurer.Route
	weight float64
	awake  bool
	// flipAt is when the route next wakes up or falls idle.
	flipAt time.Duration
}

// Arriver draws arrivals in the order of their time.
type Arriver struct {
	options Options
	random  *rand.Rand
	sources []*source
	tenants []string
	now     time.Duration
	// pending are the rest of bursts, sorted by time.
	pending []Arrival
	number  int
}

// New returns the load of a configuration's routes.
func New(configuration *configurer.Configuration, options Options) *Arriver {
	a := &Arriver{options: options, random: rand.New(rand.NewSource(options.Seed))}
	routes := configuration.Routes()
	order := a.random.Perm(len(routes))
	for place, index := range order {
		if routes[index].Service() != "" && !options.Services {
			continue
		}
		s := &source{route: routes[index], weight: 1 / math.Pow(float64(place+1), zipfExponent), awake: a.random.Float64() < awakeShare}
		s.flipAt = a.flipTime(s)
		a.sources = append(a.sources, s)
	}
	for _, object := range configuration.Objects() {
		if object.Kind() == configurer.KindTenant {
			a.tenants = append(a.tenants, object.Name())
		}
	}
	if len(a.tenants) == 0 {
		a.tenants = []string{"tenant"}
	}
	return a
}

// flipTime draws when a route next changes state. Rates differ so that the
// share of awake routes stays the same and flipsPerHour of all routes change.
func (a *Arriver) flipTime(s *source) time.Duration {
	share := awakeShare
	if !s.awake {
		share = 1 - awakeShare
	}
	meanHours := 2 * share / flipsPerHour
	return a.now + time.Duration(a.random.ExpFloat64()*meanHours*float64(time.Hour))
}

// Next returns the next arrival.
func (a *Arriver) Next() Arrival {
	next := a.now + a.gap()
	if len(a.pending) > 0 && a.pending[0].At <= next {
		arrival := a.pending[0]
		a.pending = a.pending[1:]
		a.now = arrival.At
		return arrival
	}
	a.now = next
	a.flip()
	arrival := a.draw(a.pick(), a.now)
	if a.random.Float64() < burstShare {
		a.burst(arrival)
	}
	return arrival
}

// gap draws the time to the next arrival that is not part of a burst.
func (a *Arriver) gap() time.Duration {
	phase := 2 * math.Pi * float64(a.options.StartOfDay+a.now) / float64(day)
	rate := a.options.Rate * (1 - dailySwing*math.Cos(phase)) / (1 + burstShare*meanBurst)
	return time.Duration(a.random.ExpFloat64() / rate * float64(time.Second))
}

func (a *Arriver) flip() {
	for _, s := range a.sources {
		if s.flipAt <= a.now {
			s.awake = !s.awake
			s.flipAt = a.flipTime(s)
		}
	}
}

// asleepWeight is the share of its popularity that an idle route keeps.
const asleepWeight = 0.01

func (a *Arriver) pick() *source {
	total := 0.0
	for _, s := range a.sources {
		total += s.currentWeight()
	}
	draw := a.random.Float64() * total
	for _, s := range a.sources {
		draw -= s.currentWeight()
		if draw <= 0 {
			return s
		}
	}
	return a.sources[len(a.sources)-1]
}

func (s *source) currentWeight() float64 {
	if s.awake {
		return s.weight
	}
	return s.weight * asleepWeight
}

// Lengths of answers in tokens.
const (
	leastTokens  = 4
	meanTokens   = 24
	mostTokens   = 256
	streamedPart = 0.5
)

func (a *Arriver) draw(s *source, at time.Duration) Arrival {
	a.number++
	tokens := leastTokens + int(a.random.ExpFloat64()*meanTokens)
	return Arrival{
		At: at, Number: a.number, Route: s.route.Name(), Class: s.route.Class(),
		Tenant: a.tenants[a.random.Intn(len(a.tenants))], Node: a.random.Intn(max(a.options.Nodes, 1)),
		Tokens: min(tokens, mostTokens), Stream: a.random.Float64() < streamedPart,
	}
}

// burst adds further requests for the same route, at any node.
func (a *Arriver) burst(first Arrival) {
	count := int(a.random.ExpFloat64() * meanBurst)
	for range count {
		at := first.At + time.Duration(a.random.Float64()*float64(burstSpread))
		for _, s := range a.sources {
			if s.route.Name() == first.Route {
				a.pending = append(a.pending, a.draw(s, at))
				break
			}
		}
	}
	sort.SliceStable(a.pending, func(i, j int) bool { return a.pending[i].At < a.pending[j].At })
}
