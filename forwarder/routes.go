package forwarder

import (
	"net/http"
	"strings"
)

// findRoute sets a call's route, by its name if that is not empty, and its deadline. The error is the one with which the call ends.
func (f *Forwarder) findRoute(c *call, name string) error {
	if c.catalog == nil {
		return c.refuse("no_configuration", "no configuration is known yet", configurationRetry)
	}
	if !f.dependencies.CrashesKnown() {
		return c.refuse("no_crashes", "it is not known yet which requests crash workers", configurationRetry)
	}
	path, _, _ := strings.Cut(c.Target, "?")
	route, found := c.catalog.Find(c.Host, path)
	if name != "" {
		route, found = c.catalog.Route(name)
	}
	if !found {
		return newFailure(http.StatusNotFound, "no_route", "no route leads here")
	}
	c.route = route
	c.deadline = c.arrived.Add(route.Timeout())
	if !c.Deadline.IsZero() && c.Deadline.Before(c.deadline) {
		c.deadline = c.Deadline
	}
	return nil
}

// findService sets a call's service. The error is the one with which the call ends.
func (c *call) findService(name string) error {
	service, found := c.catalog.Service(name)
	if !found {
		return c.refuse("no_service", "the route's service is not configured", configurationRetry)
	}
	c.service = service
	return nil
}
