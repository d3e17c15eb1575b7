package configreader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/samber/lo"
)

// checker collects the faults of objects whose single fields match the schema.
type checker struct {
	configuration *Configuration
	faults        []Fault
}

// buildConfiguration indexes the objects and checks the rules that involve several
// fields or objects.
func buildConfiguration(objects []*Object) (*Configuration, []Fault) {
	c := &checker{configuration: &Configuration{objects: map[string]*Object{}}}
	for _, object := range objects {
		c.addObject(object)
	}
	c.configuration.index()
	for _, object := range objects {
		c.checkReferences(object)
		c.checkObject(object)
	}
	c.checkDeployment()
	c.checkFallbackCycles()
	for _, object := range objects {
		object.valuePositions = nil // Only the checks need them, and they take most of an object's memory.
	}
	return c.configuration, c.faults
}

// addFault records a fault of an object at a position.
func (c *checker) addFault(at position, object *Object, format string, args ...any) {
	c.faults = append(c.faults, Fault{file: at.file, line: at.line, column: at.column, object: object.ID(), text: fmt.Sprintf(format, args...)})
}

// addObject adds an object unless another of its kind has the same name.
func (c *checker) addObject(object *Object) {
	first, duplicate := c.configuration.objects[object.ID()]
	if duplicate {
		c.addFault(object.position, object, "name stands already at %s:%d; names are unique within a kind", first.position.file, first.position.line)
		return
	}
	c.configuration.objects[object.ID()] = object
}

// checkReferences reports each field that names an object that does not exist.
func (c *checker) checkReferences(object *Object) {
	for _, field := range schemaOf(object.kind).fields {
		name := object.Text(field.key)
		if field.referencedKind == "" || name == "" {
			continue
		}
		if _, found := c.configuration.objects[string(field.referencedKind)+" "+name]; found {
			continue
		}
		names := lo.Map(c.configuration.objectsOfKind(field.referencedKind), func(o *Object, _ int) string { return o.name })
		hint := ""
		if closest := closestMatch(name, names); closest != "" {
			hint = fmt.Sprintf("; did you mean %q?", closest)
		}
		c.addFault(object.positionOf(field.key), object, "%q names %s %q, which does not exist%s", field.key, field.referencedKind, name, hint)
	}
}

// checkObject checks the rules of an object's kind.
func (c *checker) checkObject(object *Object) {
	switch object.kind {
	case KindWorker:
		c.checkWorkerGroup(object)
	case KindVersion:
		c.checkVersion(object)
	case KindModel:
		if object.Number("least") > object.Number("most") {
			c.addFault(object.positionOf("least"), object, "\"least\" %v must not exceed \"most\" %v", object.Number("least"), object.Number("most"))
		}
	case KindAdapter:
		c.checkAdapter(object)
	case KindRoute:
		c.checkRoute(object)
	}
}

func (c *checker) checkWorkerGroup(object *Object) {
	deployment, found := c.configuration.Deployment()
	zone := object.Text("zone")
	if found && zone != "" && !slices.Contains(deployment.Zones(), zone) {
		c.addFault(object.positionOf("zone"), object, "zone %q is not one of the deployment's zones: %s", zone, strings.Join(deployment.Zones(), ", "))
	}
	group := WorkerGroup{object}
	if group.RunsModels() && group.Memory() == 0 {
		c.addFault(object.positionOf("memory"), object, "a group that runs models needs \"memory\" above 0")
	}
	if !group.RunsModels() && group.Service() == "" {
		c.addFault(object.position, object, "a group that runs a service must name it in \"service\"")
	}
}

func (c *checker) checkVersion(object *Object) {
	largest := c.configuration.largestMemory()
	if largest > 0 && (Version{object}).Memory() > largest {
		c.addFault(object.positionOf("memory"), object, "needs %v GiB, but the largest worker holds %v GiB", object.Number("memory"), float64(largest)/bytesPerGiB)
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
		c.addFault(object.positionOf("memory"), object, "with its model it needs %v GiB, but the largest worker holds %v GiB", float64(total)/bytesPerGiB, float64(largest)/bytesPerGiB)
	}
}

// memoryOrZero returns the memory in bytes, 0 for a version that was not found.
func (v Version) memoryOrZero() int64 {
	if v.object == nil {
		return 0
	}
	return v.Memory()
}

func (c *checker) checkRoute(object *Object) {
	targets := lo.Filter([]string{"model", "adapter", "service"}, func(key string, _ int) bool { return object.has(key) })
	if len(targets) != 1 {
		c.addFault(object.position, object, "must name exactly one of \"model\", \"adapter\", \"service\"; it names %d", len(targets))
	}
	route := Route{object}
	if !route.Idempotent() && object.Number("retries") > 0 {
		c.addFault(object.positionOf("retries"), object, "is not idempotent, so \"retries\" must be 0 or absent")
	}
	if route.Service() != "" && !strings.HasPrefix(route.Path(), "/") {
		c.addFault(object.positionOf("path"), object, "a service route needs a \"path\" that starts with \"/\"")
	}
	if route.Service() == "" && object.has("path") {
		c.addFault(object.positionOf("path"), object, "only a service route may have a \"path\"")
	}
	c.checkServiceHasWorkerGroup(object, route)
	c.checkFallbackKind(object, route)
}

// checkServiceHasWorkerGroup reports a service route whose service no worker group runs.
func (c *checker) checkServiceHasWorkerGroup(object *Object, route Route) {
	if route.Service() == "" {
		return
	}
	hasWorkerGroup := lo.ContainsBy(c.configuration.WorkerGroups(), func(g WorkerGroup) bool { return g.Service() == route.Service() })
	if !hasWorkerGroup {
		c.addFault(object.positionOf("service"), object, "no worker group runs service %q", route.Service())
	}
}

// checkFallbackKind reports a fallback between a model route and a service route, or
// between routes that are not both idempotent.
func (c *checker) checkFallbackKind(object *Object, route Route) {
	fallback, found := c.configuration.Route(route.Fallback())
	if !found {
		return
	}
	if (fallback.Service() == "") != (route.Service() == "") {
		c.addFault(object.positionOf("fallback"), object, "a model route cannot fall back to a service route, nor a service route to a model route")
	}
	if !route.Idempotent() || !fallback.Idempotent() {
		c.addFault(object.positionOf("fallback"), object, "both routes of a \"fallback\" must be idempotent")
	}
}

// checkDeployment reports a configuration without exactly one deployment.
func (c *checker) checkDeployment() {
	deployments := c.configuration.objectsOfKind(KindDeployment)
	if len(deployments) == 1 {
		return
	}
	if len(deployments) == 0 {
		c.faults = append(c.faults, Fault{file: "configuration", line: 1, column: 1, object: "deployment", text: "none is given; exactly one is needed"})
		return
	}
	c.addFault(deployments[1].position, deployments[1], "is a second deployment; exactly one is needed")
}

// checkFallbackCycles reports each cycle of fallbacks once, at its first route by name.
func (c *checker) checkFallbackCycles() {
	reported := map[string]bool{}
	for _, route := range c.configuration.Routes() {
		cycle := c.fallbackCycle(route)
		if cycle == nil || reported[route.Name()] {
			continue
		}
		for _, name := range cycle {
			reported[name] = true
		}
		c.addFault(route.object.positionOf("fallback"), route.object, "fallbacks form a cycle: %s", strings.Join(append(cycle, route.Name()), " -> "))
	}
}

// fallbackCycle returns the names of the routes on the cycle of fallbacks through
// route, starting there, or nil when route is on none.
func (c *checker) fallbackCycle(route Route) []string {
	names := []string{route.Name()}
	current := route
	for range c.configuration.objects {
		fallback, found := c.configuration.Route(current.Fallback())
		if !found {
			return nil
		}
		if fallback.Name() == route.Name() {
			return names
		}
		names = append(names, fallback.Name())
		current = fallback
	}
	return nil
}
