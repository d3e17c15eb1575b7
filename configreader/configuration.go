// Package configreader parses and checks the configuration: named objects that
// operators edit in files and publish together as one version.
package configreader

import (
	"encoding/json"
	"sort"
	"strings"
)

// Configuration is an immutable set of objects without faults.
type Configuration struct {
	// objects maps each object's ID, "kind name", to the object.
	objects map[string]*Object
	// byKind holds each kind's objects sorted by name.
	byKind map[Kind][]*Object
	// serviceRoutes holds the routes of services, longest path first.
	serviceRoutes []Route
}

// index fills byKind and serviceRoutes from objects.
func (c *Configuration) index() {
	c.byKind = map[Kind][]*Object{}
	for _, object := range c.objects {
		c.byKind[object.kind] = append(c.byKind[object.kind], object)
	}
	for _, objects := range c.byKind {
		sort.Slice(objects, func(i, j int) bool { return objects[i].name < objects[j].name })
	}
	for _, route := range c.Routes() {
		if route.Service() != "" {
			c.serviceRoutes = append(c.serviceRoutes, route)
		}
	}
	sort.SliceStable(c.serviceRoutes, func(i, j int) bool { return len(c.serviceRoutes[i].Path()) > len(c.serviceRoutes[j].Path()) })
}

func (c *Configuration) objectsOfKind(kind Kind) []*Object { return c.byKind[kind] }

func (c *Configuration) find(kind Kind, name string) (*Object, bool) {
	object, found := c.objects[string(kind)+" "+name]
	return object, found
}

// Objects returns every object, by kind in schema order and then by name.
func (c *Configuration) Objects() []*Object {
	var all []*Object
	for _, entry := range schema {
		all = append(all, c.byKind[entry.kind]...)
	}
	return all
}

// Deployment returns the only deployment. It returns false only while a configuration
// without one is being checked.
func (c *Configuration) Deployment() (Deployment, bool) {
	if len(c.byKind[KindDeployment]) == 0 {
		return Deployment{}, false
	}
	return Deployment{c.byKind[KindDeployment][0]}, true
}

// Model returns the model of the given name, and false when there is none.
func (c *Configuration) Model(name string) (Model, bool) {
	object, found := c.find(KindModel, name)
	return Model{object}, found
}

// Version returns the model version of the given name, and false when there is none.
func (c *Configuration) Version(name string) (Version, bool) {
	object, found := c.find(KindVersion, name)
	return Version{object}, found
}

// Adapter returns the adapter of the given name, and false when there is none.
func (c *Configuration) Adapter(name string) (Adapter, bool) {
	object, found := c.find(KindAdapter, name)
	return Adapter{object}, found
}

// Service returns the service of the given name, and false when there is none.
func (c *Configuration) Service(name string) (Service, bool) {
	object, found := c.find(KindService, name)
	return Service{object}, found
}

// Route returns the route of the given name, and false when there is none.
func (c *Configuration) Route(name string) (Route, bool) {
	object, found := c.find(KindRoute, name)
	return Route{object}, found
}

// WorkerGroup returns the worker group of the given name, and false when there is none.
func (c *Configuration) WorkerGroup(name string) (WorkerGroup, bool) {
	object, found := c.find(KindWorker, name)
	return WorkerGroup{object}, found
}

// Tenant returns the tenant of the given name, and false when there is none.
func (c *Configuration) Tenant(name string) (Tenant, bool) {
	object, found := c.find(KindTenant, name)
	return Tenant{object}, found
}

// Models returns the models sorted by name.
func (c *Configuration) Models() []Model {
	models := make([]Model, 0, len(c.byKind[KindModel]))
	for _, object := range c.byKind[KindModel] {
		models = append(models, Model{object})
	}
	return models
}

// WorkerGroups returns the worker groups sorted by name.
func (c *Configuration) WorkerGroups() []WorkerGroup {
	groups := make([]WorkerGroup, 0, len(c.byKind[KindWorker]))
	for _, object := range c.byKind[KindWorker] {
		groups = append(groups, WorkerGroup{object})
	}
	return groups
}

// Routes returns the routes sorted by name.
func (c *Configuration) Routes() []Route {
	routes := make([]Route, 0, len(c.byKind[KindRoute]))
	for _, object := range c.byKind[KindRoute] {
		routes = append(routes, Route{object})
	}
	return routes
}

// RouteOfPath returns the service route whose path is the longest prefix of a path, and
// false when there is none. A prefix matches whole path segments only.
func (c *Configuration) RouteOfPath(path string) (Route, bool) {
	for _, route := range c.serviceRoutes {
		prefix := strings.TrimSuffix(route.Path(), "/")
		if path == prefix || strings.HasPrefix(path, prefix+"/") {
			return route, true
		}
	}
	return Route{}, false
}

// Text returns the configuration as one JSON text with sorted objects, which Parse
// turns into an equal configuration.
func (c *Configuration) Text() []byte {
	lists := map[string][]json.RawMessage{}
	for _, entry := range schema {
		for _, object := range c.byKind[entry.kind] {
			lists[entry.plural] = append(lists[entry.plural], json.RawMessage(object.body))
		}
	}
	text, err := json.Marshal(lists)
	if err != nil {
		return nil // Bodies are canonical JSON, which always encodes.
	}
	return text
}

// largestMemory returns the memory of the largest worker in bytes, 0 without workers.
func (c *Configuration) largestMemory() int64 {
	var largest int64
	for _, group := range c.WorkerGroups() {
		largest = max(largest, group.Memory())
	}
	return largest
}
