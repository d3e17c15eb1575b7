// Package adminserver is the HTTP interface for operators and monitoring, at an
// address separate from that of callers: status, explanations of routing
// decisions, metrics and profiles.
package adminserver

import (
	"crypto/subtle"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/pprof"

	"github.com/acaciaproxy/acaciaproxy/balancer"
	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/elector"
	"github.com/acaciaproxy/acaciaproxy/gateway"
	"github.com/acaciaproxy/acaciaproxy/leader"
	"github.com/acaciaproxy/acaciaproxy/recorder"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// Dependencies are what a server needs from the rest of the node.
type Dependencies struct {
	Settings *settingsreader.Settings
	Follower *configfollower.Follower
	Tracker  *tracker.Tracker
	Leader   *leader.Leader
	// InFlight returns how many requests of callers are in flight.
	InFlight func() int64
}

// Server is the HTTP interface for operators.
type Server struct {
	// dependencies is empty after NewMetrics.
	dependencies Dependencies
	app          *fiber.App
}

// New returns a server that does not listen yet.
func New(dependencies Dependencies) *Server {
	s := &Server{dependencies: dependencies, app: newApp("acaciaproxy operators")}
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok") })
	s.app.Use(s.checkToken)
	s.app.Use(pprof.New())
	s.app.Get("/debug/vars", func(c fiber.Ctx) error {
		c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
		return c.Send(recorder.ExpvarJSON())
	})
	s.app.Get("/status", func(c fiber.Ctx) error { return c.JSON(s.status()) })
	s.app.Get("/explain/:route", s.explain)
	return s
}

// Serve handles requests at the listener until Stop is called or the listener fails.
func (s *Server) Serve(listener net.Listener) error {
	return s.app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
}

// Stop closes the listener. It returns an error when requests are still running after a second.
func (s *Server) Stop() error { return s.app.ShutdownWithTimeout(time.Second) }

// checkToken rejects requests without the operators' token. It compares in
// constant time, so that the response time reveals nothing of the token.
func (s *Server) checkToken(c fiber.Ctx) error {
	token := s.dependencies.Settings.Token()
	if token == "" {
		return c.Next()
	}
	sentToken := strings.TrimPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(sentToken), []byte(token)) != 1 {
		return c.Status(fiber.StatusUnauthorized).JSON(map[string]string{"error": "operator token is missing or wrong"})
	}
	return c.Next()
}

// Status is the body of GET /status.
type Status struct {
	Node string `json:"node"`
	Zone string `json:"zone"`
	// Version is that of the configuration in force; 0 when there is none.
	Version int64 `json:"version"`
	// Leading is set when the node leads its zone.
	Leading bool `json:"leading"`
	// InFlight is the number of callers' requests in flight.
	InFlight int64 `json:"in_flight"`
	// Lease is the zone's lease as this node knows it.
	Lease elector.Lease `json:"lease"`
	// Workers are the workers of the host list, sorted by ID.
	Workers []tracker.Row `json:"workers"`
}

func (s *Server) status() Status {
	lease, leading := s.dependencies.Leader.Leading()
	return Status{
		Node: s.dependencies.Settings.Name(), Zone: s.dependencies.Settings.Zone(), Version: s.dependencies.Follower.Current().Version(),
		Leading: leading, InFlight: s.dependencies.InFlight(), Lease: lease, Workers: s.dependencies.Tracker.Rows(),
	}
}

// Explanation is the body of GET /explain/:route: which worker a request for the
// route would be sent to now, and why.
type Explanation struct {
	// Route is the name of the route.
	Route string `json:"route"`
	// Unit is what a worker must have loaded for a model route: "version" or "version/adapter".
	Unit string `json:"unit,omitempty"`
	// Service is the name of the plain service that the route leads to, if any.
	Service string `json:"service,omitempty"`
	// Version is that of the configuration in force.
	Version int64 `json:"version"`
	// Worker is the ID of the chosen candidate; empty when no candidate can accept a request.
	Worker string `json:"worker,omitempty"`
	Reason string `json:"reason"`
	// Candidates are the usable workers that have the unit ready or run the service.
	Candidates []balancer.Candidate `json:"candidates"`
}

func (s *Server) explain(c fiber.Ctx) error {
	versioned := s.dependencies.Follower.Current()
	name := c.Params("route")
	if versioned.Configuration() == nil {
		return c.Status(fiber.StatusNotFound).JSON(map[string]string{"error": "no configuration is in force"})
	}
	route, found := versioned.Configuration().Route(name)
	if !found {
		return c.Status(fiber.StatusNotFound).JSON(map[string]string{"error": "route " + name + " is not in the configuration"})
	}
	explanation := Explanation{Route: name, Version: versioned.Version(), Service: route.Service()}
	now, zone := time.Now(), s.dependencies.Settings.Zone()
	if route.Service() != "" {
		explanation.Candidates = s.dependencies.Tracker.ServiceCandidates(now, gateway.WorkerGroupsOf(versioned.Configuration(), route.Service()), zone, nil)
	} else {
		explanation.Unit, _ = gateway.UnitOf(versioned.Configuration(), route)
		explanation.Candidates = s.dependencies.Tracker.Candidates(now, explanation.Unit, zone, nil)
	}
	explanation.setChoice()
	return c.JSON(explanation)
}

// setChoice sets the worker and the reason from the candidates.
func (e *Explanation) setChoice() {
	if len(e.Candidates) == 0 {
		e.Reason = "no usable worker has it ready; the zone's leader would be asked to load it"
		if e.Service != "" {
			e.Reason = "no usable endpoint runs the service; requests are refused"
		}
		return
	}
	chosen := balancer.Choose(e.Candidates, 0, 0)
	if chosen < 0 {
		e.Reason = "every worker that has it ready is saturated; requests wait in the queue"
		return
	}
	e.Worker = e.Candidates[chosen].ID
	e.Reason = "least loaded of two for a request without a known prefix"
}
