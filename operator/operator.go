// Package operator answers operators and monitoring at an address of their
// own: status, explanations, and expvar metrics.
package operator

import (
	"crypto/subtle"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/pprof"

	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/follower"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/router"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// Parts are what an operator interface needs from the rest of the node.
type Parts struct {
	Settings *settingsreader.Settings
	Follower *follower.Follower
	Tracker  *tracker.Tracker
	Leader   *leader.Leader
	InFlight func() int64
}

// Operator answers operators.
type Operator struct {
	parts Parts
	app   *fiber.App
}

// New returns an operator interface that does not listen yet.
func New(parts Parts) *Operator {
	o := &Operator{parts: parts, app: fiber.New(fiber.Config{AppName: "acaciaproxy operators", Immutable: true})}
	o.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	o.app.Use(o.checkToken)
	o.app.Use(pprof.New())
	o.app.Get("/debug/vars", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(recorder.Vars())
	})
	o.app.Get("/status", func(c fiber.Ctx) error { return c.JSON(o.status()) })
	o.app.Get("/explain/:route", o.explain)
	return o
}

// Serve answers until Stop is called.
func (o *Operator) Serve(listener net.Listener) error {
	return o.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Stop closes the listener.
func (o *Operator) Stop() error { return o.app.ShutdownWithTimeout(time.Second) }

// checkToken refuses callers without the operators' token. The comparison
// takes the same time wherever the tokens differ.
func (o *Operator) checkToken(c fiber.Ctx) error {
	token := o.parts.Settings.Token()
	if token == "" {
		return c.Next()
	}
	sent := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(sent), []byte(token)) != 1 {
		return c.Status(fiber.StatusUnauthorized).JSON(map[string]string{"error": "operator token is missing or wrong"})
	}
	return c.Next()
}

// Status is a node's account of itself.
type Status struct {
	Node     string `json:"node"`
	Zone     string `json:"zone"`
	Version  int64  `json:"version"`
	Leading  bool   `json:"leading"`
	InFlight int64  `json:"in_flight"`
	// Lease is the zone's lease as the node last saw it.
	Lease   elector.Lease `json:"lease"`
	Workers []tracker.Row `json:"workers"`
}

func (o *Operator) status() Status {
	lease, leading := o.parts.Leader.Leading()
	return Status{
		Node: o.parts.Settings.Name(), Zone: o.parts.Settings.Zone(), Version: o.parts.Follower.Current().Version(),
		Leading: leading, InFlight: o.parts.InFlight(), Lease: lease, Workers: o.parts.Tracker.Rows(),
	}
}

// Explanation says which worker would serve a route now, and why.
type Explanation struct {
	Route      string             `json:"route"`
	Unit       string             `json:"unit,omitempty"`
	Service    string             `json:"service,omitempty"`
	Version    int64              `json:"version"`
	Worker     string             `json:"worker,omitempty"`
	Reason     string             `json:"reason"`
	Candidates []router.Candidate `json:"candidates"`
}

func (o *Operator) explain(c fiber.Ctx) error {
	pinned := o.parts.Follower.Current()
	name := c.Params("route")
	if pinned.Configuration() == nil {
		return c.Status(fiber.StatusNotFound).JSON(map[string]string{"error": "no configuration is in force"})
	}
	route, found := pinned.Configuration().Route(name)
	if !found {
		return c.Status(fiber.StatusNotFound).JSON(map[string]string{"error": "route " + name + " is not in the configuration"})
	}
	explanation := Explanation{Route: name, Version: pinned.Version(), Service: route.Service()}
	now, zone := time.Now(), o.parts.Settings.Zone()
	if route.Service() != "" {
		explanation.Candidates = o.parts.Tracker.ServiceCandidates(now, gateway.GroupsOf(pinned.Configuration(), route.Service()), zone, nil)
	} else {
		explanation.Unit, _ = gateway.UnitOf(pinned.Configuration(), route)
		explanation.Candidates = o.parts.Tracker.Candidates(now, explanation.Unit, zone, nil)
	}
	explanation.choose()
	return c.JSON(explanation)
}

// choose sets the worker and the reason.
func (e *Explanation) choose() {
	if len(e.Candidates) == 0 {
		e.Reason = "no usable worker has it ready; the zone's leader would be asked to load it"
		if e.Service != "" {
			e.Reason = "no usable endpoint runs the service; requests are refused"
		}
		return
	}
	chosen := router.Choose(e.Candidates, 0, 0)
	if chosen < 0 {
		e.Reason = "every worker that has it ready is saturated; requests wait in the queue"
		return
	}
	e.Worker = e.Candidates[chosen].ID
	e.Reason = "least loaded of two for a request without a known prefix"
}
