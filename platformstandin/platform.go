// Package platformstandin simulates the platform for tests and local runs: a
// transactional table, an object store, a rate-limited weight store and a list
// of hosts that can be read with a lag, with a switch for each fault that it
// can simulate.
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
	// Group is the name of the worker group in the configuration, empty for nodes.
	Group string `json:"group,omitempty"`
	Zone  string `json:"zone"`
	// Address is the host and port to call.
	Address string `json:"address"`
	// State is live or leaving.
	State string `json:"state"`
}

// Faults holds the fault switches; the zero value switches all of them off. Calls that
// read statistics or change faults or hosts are never affected.
type Faults struct {
	// Outage makes every call but weight fetches fail with status 503.
	Outage bool `json:"outage"`
	// WeightsOutage makes weight fetches fail with status 503.
	WeightsOutage bool `json:"weights_outage"`
	// Hang makes every call but weight fetches wait until the switch is off.
	Hang bool `json:"hang"`
	// SlowMS is the delay, in milliseconds, of every call but weight fetches.
	SlowMS int64 `json:"slow_ms"`
	// LoseWrites is how many of the next table writes are applied but get a response with status 504.
	LoseWrites int64 `json:"lose_writes"`
	// ListLagMS is the age, in milliseconds, of the host list that is returned.
	ListLagMS int64 `json:"list_lag_ms"`
	// Slowness multiplies the time of weight fetches; a value below 1 counts as 1.
	Slowness float64 `json:"slowness"`
	// CutZones lists the zones whose calls but weight fetches fail with status 503.
	CutZones []string `json:"cut_zones"`
}

// Settings holds the limits of the weight store.
type Settings struct {
	// Rate is the number of model fetches that may start per second.
	Rate float64
	// Parallel is how many models, Transit how many adapters can be fetched concurrently at full speed.
	Parallel, Transit int
}

// hostSnapshot is the host list at one time, sorted by id.
type hostSnapshot struct {
	at    time.Time
	hosts []Host
}

// Platform is one simulated platform.
type Platform struct {
	table   *table
	weights *weightStore
	// mu guards faults, objects, hosts and hostHistory.
	mu      sync.Mutex
	faults  Faults
	objects map[string][]byte
	hosts   map[string]Host
	// hostHistory holds at most maxHostSnapshots snapshots, one for each change of hosts, oldest first.
	hostHistory []hostSnapshot
	// reads and writes count calls; bytes counts the bytes of request bodies.
	reads, writes, bytes atomic.Int64
	app                  *fiber.App
}

// New returns a platform with no rows, objects or hosts.
func New(settings Settings) *Platform {
	return &Platform{
		table:   newTable(),
		weights: newWeightStore(settings.Rate, settings.Parallel, settings.Transit),
		objects: map[string][]byte{},
		hosts:   map[string]Host{},
		faults:  Faults{Slowness: 1},
	}
}

func (p *Platform) registerRoutes() {
	p.app = fiber.New(fiber.Config{BodyLimit: 64 << 20, Immutable: true})
	p.app.Use(nameCall)
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

// Serve handles HTTP calls until the listener is closed.
func (p *Platform) Serve(listener net.Listener) error {
	p.registerRoutes()
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

// SetFaults replaces the state of all fault switches.
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

// hangPoll is the interval at which a hanging call checks whether the switch is off.
const hangPoll = 10 * time.Millisecond

// nameCall puts the ID of a call into its response.
func nameCall(c fiber.Ctx) error {
	if id := c.Get("X-Request-Id"); id != "" {
		c.Set("X-Request-Id", id)
	}
	return c.Next()
}

// applyFaults delays or refuses a call according to the fault switches and to its zone, which the header X-Zone names.
func (p *Platform) applyFaults(c fiber.Ctx) error {
	if !p.waitReachable(c.Get("X-Zone")) {
		return fiber.NewError(fiber.StatusServiceUnavailable, "outage")
	}
	p.bytes.Add(int64(len(c.Body())))
	return c.Next()
}

// waitReachable waits while Hang is set and for SlowMS, and reports whether the platform can be reached from a zone.
func (p *Platform) waitReachable(zone string) bool {
	for {
		faults := p.currentFaults()
		if faults.Outage || isCut(faults.CutZones, zone) {
			return false
		}
		if !faults.Hang {
			time.Sleep(time.Duration(faults.SlowMS) * time.Millisecond)
			return true
		}
		time.Sleep(hangPoll)
	}
}

// isCut reports whether a zone is among the cut zones; calls without a zone are never cut off.
func isCut(cutZones []string, zone string) bool {
	for _, cut := range cutZones {
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
	result := p.table.write(transaction)
	if p.takeLostWrite() {
		return fiber.NewError(fiber.StatusGatewayTimeout, "answer lost")
	}
	return c.JSON(result)
}

// takeLostWrite reports whether the response to a write must be lost. If so, it decrements LoseWrites.
func (p *Platform) takeLostWrite() bool {
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
	p.recordHosts()
}

// RemoveHost removes an entry of the host list.
func (p *Platform) RemoveHost(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.hosts, id)
	p.recordHosts()
}

func (p *Platform) deleteHost(c fiber.Ctx) error {
	p.RemoveHost(strings.Clone(c.Params("id")))
	return c.SendStatus(fiber.StatusNoContent)
}

// maxHostSnapshots is the number of snapshots of the host list that are kept.
const maxHostSnapshots = 256

// recordHosts adds the current host list to the history. mu must be held.
func (p *Platform) recordHosts() {
	hosts := make([]Host, 0, len(p.hosts))
	for _, host := range p.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	p.hostHistory = append(p.hostHistory, hostSnapshot{at: time.Now(), hosts: hosts})
	if len(p.hostHistory) > maxHostSnapshots {
		p.hostHistory = p.hostHistory[len(p.hostHistory)-maxHostSnapshots:]
	}
}

func (p *Platform) listHosts(c fiber.Ctx) error {
	hosts := p.laggedHosts()
	encoded, err := json.Marshal(hosts)
	if err != nil {
		return fiber.NewError(fiber.StatusInternalServerError, err.Error())
	}
	etag := strconv.FormatUint(xxhash.Sum64(encoded), 16)
	if c.Get(fiber.HeaderIfNoneMatch) == etag {
		return c.SendStatus(fiber.StatusNotModified)
	}
	c.Set(fiber.HeaderETag, etag)
	return c.JSON(map[string][]Host{"hosts": hosts})
}

// laggedHosts returns the host list whose age is ListLagMS, or the oldest one known.
func (p *Platform) laggedHosts() []Host {
	p.reads.Add(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	asOf := time.Now().Add(-time.Duration(p.faults.ListLagMS) * time.Millisecond)
	hosts := []Host{}
	for i, past := range p.hostHistory {
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
	var request FetchRequest
	if err := c.Bind().JSON(&request); err != nil {
		return fiber.NewError(fiber.StatusBadRequest, err.Error())
	}
	p.weights.fetch(request)
	return c.SendStatus(fiber.StatusNoContent)
}
