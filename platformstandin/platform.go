// Package platformstandin stands in for the platform in tests and trials: a
// transactional table, an object store, a rate-limited weight store and a
// lagging list of hosts, with a switch for each of their faults.
package platformstandin

import (
	"encoding/json"
	"net"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/silencer"
)

// Host is one entry of the host list.
type Host struct {
	ID string `json:"id"`
	// Kind is node or worker.
	Kind string `json:"kind"`
	// Group is the worker group of the configuration, empty for nodes.
	Group   string `json:"group,omitempty"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	// State is live or leaving.
	State string `json:"state"`
}

// Faults is the state of the fault switches.
type Faults struct {
	// Outage makes every call but weight fetches fail with status 503.
	Outage bool `json:"outage"`
	// WeightsOutage makes weight fetches fail with status 503.
	WeightsOutage bool `json:"weights_outage"`
	// Hang makes every call wait until the switch is off.
	Hang bool `json:"hang"`
	// SlowMS delays every call.
	SlowMS int64 `json:"slow_ms"`
	// LoseWrites is how many of the next writes take effect and lose their answer.
	LoseWrites int64 `json:"lose_writes"`
	// ListLagMS is how old the host list is when read.
	ListLagMS int64 `json:"list_lag_ms"`
	// Slowness multiplies the time of weight fetches.
	Slowness float64 `json:"slowness"`
	// CutZones lists zones whose nodes cannot reach the platform.
	CutZones []string `json:"cut_zones"`
}

// Settings are the limits that the platform applies.
type Settings struct {
	// Rate is the model fetches a second.
	Rate float64
	// Parallel and Transit are how many models and adapters are fetched at full speed.
	Parallel, Transit int
}

// listing is the host list as it stood at a moment.
type listing struct {
	at    time.Time
	hosts []Host
}

// Platform is one running stand-in.
type Platform struct {
	table   *table
	weights *weightStore
	// mu guards faults, objects, hosts and history.
	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	hosts   map[string]Host
	// history holds past listings, oldest first, for lagging reads.
	history              []listing
	reads, writes, bytes atomic.Int64
	app                  *fiber.App
}

// New returns a stand-in with no rows and no hosts.
func New(settings Settings) *Platform {
	return &Platform{
		table:   newTable(),
		weights: newWeightStore(settings.Rate, settings.Parallel, settings.Transit),
		objects: map[string][]byte{},
		hosts:   map[string]Host{},
		faults:  Faults{Slowness: 1},
	}
}

func (p *Platform) route() {
	p.app = fiber.New(fiber.Config{BodyLimit: 64 << 20, Immutable: true})
	p.app.Get("/faults", func(c fiber.Ctx) error { return c.JSON(p.currentFaults()) })
	p.app.Put("/faults", p.setFaults)
	p.app.Get("/stats", p.stats)
	p.app.Put("/hosts/:id", p.putHost)
	p.app.Delete("/hosts/:id", p.deleteHost)
	p.app.Post("/weights/fetch", p.fetchWeights)
	p.app.Use(p.applyFaults)
	p.app.Post("/table/read", p.readTable)
	p.app.Post("/table/write", p.writeTable)
	p.app.Get("/objects/*", p.getObject)
	p.app.Put("/objects/*", p.putObject)
	p.app.Get("/hosts", p.listHosts)
}

// Serve answers calls until the listener is closed.
func (p *Platform) Serve(listener net.Listener) error {
	p.route()
	return p.app.Listener(silencer.New(listener), fiber.ListenConfig{DisableStartupMessage: true})
}

func (p *Platform) currentFaults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Platform) setFaults(c fiber.Ctx) error {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if err := c.Bind().JSON(&faults); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	p.SetFaults(faults)
	return c.JSON(faults)
}

// SetFaults sets every fault switch.
func (p *Platform) SetFaults(faults Faults) {
	p.mu.Lock()
	p.faults = faults
	p.mu.Unlock()
	p.weights.mu.Lock()
	defer p.weights.mu.Unlock()
	p.weights.slowness = max(faults.Slowness, 1)
}

func (p *Platform) stats(c fiber.Ctx) error {
	p.weights.mu.Lock()
	fetches := p.weights.fetches
	p.weights.mu.Unlock()
	return c.JSON(map[string]int64{
		"reads": p.reads.Load(), "writes": p.writes.Load(), "bytes": p.bytes.Load(),
		"rows": int64(p.table.size()), "fetches": fetches,
	})
}

// faultPoll is how often a hanging call looks whether the switch is off.
const faultPoll = 10 * time.Millisecond

func (p *Platform) applyFaults(c fiber.Ctx) error {
	if !p.reachable(c.Get("X-Zone")) {
		return fiber.NewError(fiber.StatusServiceUnavailable, "outage")
	}
	p.bytes.Add(int64(len(c.Body())))
	return c.Next()
}

// reachable waits as the switches say and reports whether a call from a zone gets through.
func (p *Platform) reachable(zone string) bool {
	for {
		faults := p.currentFaults()
		if faults.Outage || contains(faults.CutZones, zone) {
			return false
		}
		if !faults.Hang {
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
			return true
		}
		time.Sleep(faultPoll)
	}
}

func contains(zones []string, zone string) bool {
	for _, cut := range zones {
		if cut == zone && zone != "" {
			return true
		}
	}
	return false
}

func (p *Platform) readTable(c fiber.Ctx) error {
	var request struct {
		Keys   []string `json:"keys"`
		Prefix string   `json:"prefix"`
	}
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	p.reads.Add(1)
	return c.JSON(map[string][]Row{"rows": p.table.read(request.Keys, request.Prefix)})
}

func (p *Platform) writeTable(c fiber.Ctx) error {
	var transaction Transaction
	if err := c.Bind().JSON(&transaction); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	p.writes.Add(1)
	verdict := p.table.write(transaction)
	if p.loseAnswer() {
		return fiber.NewError(fiber.StatusGatewayTimeout, "answer lost")
	}
	return c.JSON(verdict)
}

func (p *Platform) loseAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.LoseWrites <= 0 {
		return false
	}
	p.faults.LoseWrites--
	return true
}

func (p *Platform) getObject(c fiber.Ctx) error {
	p.reads.Add(1)
	p.mu.Lock()
	object, found := p.objects[c.Params("*")]
	p.mu.Unlock()
	if !found {
		return fiber.NewError(fiber.StatusNotFound, "no such object")
	}
	return c.Send(object)
}

func (p *Platform) putObject(c fiber.Ctx) error {
	p.writes.Add(1)
	body := append([]byte(nil), c.Body()...)
	p.mu.Lock()
	p.objects[c.Params("*")] = body
	p.mu.Unlock()
	return c.SendStatus(fiber.StatusNoContent)
}

func (p *Platform) putHost(c fiber.Ctx) error {
	var host Host
	if err := c.Bind().JSON(&host); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	host.ID = c.Params("id")
	p.SetHost(host)
	return c.SendStatus(fiber.StatusNoContent)
}

// SetHost adds or replaces an entry of the host list.
func (p *Platform) SetHost(host Host) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts[host.ID] = host
	p.recordListing()
}

// RemoveHost removes an entry of the host list.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, id)
	p.recordListing()
}

func (p *Platform) deleteHost(c fiber.Ctx) error {
	p.RemoveHost(strings.Clone(c.Params("id")))
	return c.SendStatus(fiber.StatusNoContent)
}

// maxListings bounds the history of host lists.
const maxListings = 256

// recordListing appends the present host list; the caller holds mu.
func (p *Platform) recordListing() {
	hosts := make([]Host, 0, len(p.hosts))
	for _, host := range p.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	p.history = append(p.history, listing{at: time.Now(), hosts: hosts})
	if len(p.history) > maxListings {
		p.history = p.history[len(p.history)-maxListings:]
	}
}

func (p *Platform) listHosts(c fiber.Ctx) error {
	hosts := p.listed()
	text, err := json.Marshal(hosts)
	if err != nil {
		return fiber.NewError(fiber.StatusInternalServerError, err.Error())
	}
	tag := strconv.FormatUint(xxhash.Sum64(text), 16)
	if c.Get(fiber.HeaderIfNoneMatch) == tag {
		return c.SendStatus(fiber.StatusNotModified)
	}
	c.Set(fiber.HeaderETag, tag)
	return c.JSON(map[string][]Host{"hosts": hosts})
}

// listed returns the host list as old as the switch says.
func (p *Platform) listed() []Host {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	hosts := []Host{}
	for i, past := range p.history {
		if i > 0 && past.at.After(asOf) {
			break
		}
		hosts = past.hosts
	}
	return hosts
}

func (p *Platform) fetchWeights(c fiber.Ctx) error {
	if p.currentFaults().WeightsOutage {
		return fiber.NewError(fiber.StatusServiceUnavailable, "outage")
	}
	var request Fetch
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	p.weights.fetch(request)
	return c.SendStatus(fiber.StatusNoContent)
}
