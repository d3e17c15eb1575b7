package configurer

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// checker collects the faults between objects that are each well formed.
type checker struct {
	configuration *Configuration
	faults        []Fault
}

// build indexes the objects and checks everything that spans objects.
func build(objects []*Object) (*Configuration, []Fault) {
	c := &checker{configuration: &Configuration{objects: map[string]*Object{}}}
	for _, object := range objects {
		c.add(object)
	}
	c.configuration.index()
	for _, object := range objects {
		c.checkReferences(object)
		c.checkObject(object)
	}
	c.checkDeployment()
	c.checkFallbackCycles()
	for _, object := range objects {
		object.keyOrigins = nil // Only the checks need them, and they are most of an object's memory.
	}
	return c.configuration, c.faults
}

func (c *checker) fault(at position, object *Object, format string, args ...any) {
	c.faults = append(c.faults, Fault{file: at.file, line: at.line, column: at.column, object: object.ID(), text: fmt.Sprintf(format, args...)})
}

func (c *checker) add(object *Object) {
	first, taken := c.configuration.objects[object.ID()]
	if taken {
		c.fault(object.origin, object, "name stands already at %s:%d; names are unique within a kind", first.origin.file, first.origin.line)
		return
	}
	c.configuration.objects[object.ID()] = object
}

func (c *checker) checkReferences(object *Object) {
	for _, field := range schemaOf(object.kind).fields {
		name := object.Text(field.key)
		if field.refers == "" || name == "" {
			continue
		}
		if _, found := c.configuration.objects[string(field.refers)+" "+name]; found {
			continue
		}
		names := lo.Map(c.configuration.ofKind(field.refers), func(o *Object, _ int) string { return o.name })
		hint := ""
		if near := nearest(name, names); near != "" {
			hint = fmt.Sprintf("; did you mean %q?", near)
		}
		c.fault(object.positionOf(field.key), object, "%q names %s %q, which does not exist%s", field.key, field.refers, name, hint)
	}
}

func (c *checker) checkObject(object *Object) {
	switch object.kind {
	case KindWorker:
		c.checkWorker(object)
	case KindVersion:
		c.checkVersion(object)
	case KindModel:
		if object.Number("least") > object.Number("most") {
			c.fault(object.positionOf("least"), object, "\"least\" %v must not exceed \"most\" %v", object.Number("least"), object.Number("most"))
		}
	case KindAdapter:
		c.checkAdapter(object)
	case KindRoute:
		c.checkRoute(object)
	}
}

func (c *checker) checkWorker(object *Object) {
	deployment, found := c.configuration.Deployment()
	zone := object.Text("zone")
	if found && zone != "" && !slices.Contains(deployment.Zones(), zone) {
		c.fault(object.positionOf("zone"), object, "zone %q is not one of the deployment's zones: %s", zone, strings.Join(deployment.Zones(), ", "))
	}
	worker := Worker{object}
	if worker.RunsModels() && worker.Memory() == 0 {
		c.fault(object.positionOf("memory"), object, "a group that runs models needs \"memory\" above 0")
	}
	if !worker.RunsModels() && worker.Service() == "" {
		c.fault(object.origin, object, "a group that runs a service must name it in \"service\"")
	}
}

func (c *checker) checkVersion(object *Object) {
	largest := c.configuration.largestMemory()
	if largest > 0 && (Version{object}).Memory() > largest {
		c.fault(object.positionOf("memory"), object, "needs %v GiB, but the largest worker holds %v GiB", object.Number("memory"), float64(largest)/bytesPerGiB)
	}
}

func (c *checker) checkAdapter(object *Object) {
	model, found := c.configuration.Model(object.Text("model"))
	if !found {
		return
	}
	version, found := c.configuration.Version(model.Version())
	largest := c.configuration.largestMemory()
	total := version.memoryOrZero() + Adapter{object}.Memory()
	if found && largest > 0 && version.Memory() <= largest && total > largest {
		c.fault(object.positionOf("memory"), object, "with its model it needs %v GiB, but the largest worker holds %v GiB", float64(total)/bytesPerGiB, float64(largest)/bytesPerGiB)
	}
}

func (v Version) memoryOrZero() int64 {
	if v.object == nil {
		return 0
	}
	return v.Memory()
}

func (c *checker) checkRoute(object *Object) {
	targets := lo.Filter([]string{"model", "adapter", "service"}, func(key string, _ int) bool { return object.has(key) })
	if len(targets) != 1 {
		c.fault(object.origin, object, "must name exactly one of \"model\", \"adapter\", \"service\"; it names %d", len(targets))
	}
	route := Route{object}
	if !route.Idempotent() && object.Number("retries") > 0 {
		c.fault(object.positionOf("retries"), object, "is not idempotent, so \"retries\" must be 0 or absent")
	}
	if route.Service() != "" && !strings.HasPrefix(route.Path(), "/") {
		c.fault(object.positionOf("path"), object, "a service route needs a \"path\" that starts with \"/\"")
	}
	if route.Service() == "" && object.has("path") {
		c.fault(object.positionOf("path"), object, "only a service route may have a \"path\"")
	}
	c.checkServiceIsRun(object, route)
	c.checkFallbackKind(object, route)
}

func (c *checker) checkServiceIsRun(object *Object, route Route) {
	if route.Service() == "" {
		return
	}
	run := lo.ContainsBy(c.configuration.Workers(), func(w Worker) bool { return w.Service() == route.Service() })
	if !run {
		c.fault(object.positionOf("service"), object, "no worker group runs service %q", route.Service())
	}
}

func (c *checker) checkFallbackKind(object *Object, route Route) {
	fallback, found := c.configuration.Route(route.Fallback())
	if !found {
		return
	}
	if (fallback.Service() == "") != (route.Service() == "") {
		c.fault(object.positionOf("fallback"), object, "a model route cannot fall back to a service route, nor the other way round")
	}
	if !route.Idempotent() || !fallback.Idempotent() {
		c.fault(object.positionOf("fallback"), object, "both routes of a \"fallback\" must be idempotent")
	}
}

func (c *checker) checkDeployment() {
	deployments := c.configuration.ofKind(KindDeployment)
	if len(deployments) == 1 {
		return
	}
	if len(deployments) == 0 {
		c.faults = append(c.faults, Fault{file: "configuration", line: 1, column: 1, object: "deployment", text: "none is given; exactly one is needed"})
		return
	}
	c.fault(deployments[1].origin, deployments[1], "is a second deployment; exactly one is needed")
}

// checkFallbackCycles reports each route from which fallbacks lead back to it.
func (c *checker) checkFallbackCycles() {
	reported := map[string]bool{}
	for _, route := range c.configuration.Routes() {
		chain := c.fallbackChain(route)
		if chain == nil || reported[route.Name()] {
			continue
		}
		for _, name := range chain {
			reported[name] = true
		}
		c.fault(route.object.positionOf("fallback"), route.object, "fallbacks form a cycle: %s", strings.Join(append(chain, route.Name()), " -> "))
	}
}

// fallbackChain returns the routes on a cycle that starts at route, or nil.
func (c *checker) fallbackChain(route Route) []string {
	chain := []string{route.Name()}
	next := route
	for range c.configuration.objects {
		following, found := c.configuration.Route(next.Fallback())
		if !found {
			return nil
		}
		if following.Name() == route.Name() {
			return chain
		}
		chain = append(chain, following.Name())
		next = following
	}
	return nil
}
