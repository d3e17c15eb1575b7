package configurer

import (
	"encoding/json"
	"time"
)

// Object is one named configuration object whose fields match the schema.
type Object struct {
	// kind is one of the schema's kinds.
	kind Kind
	// name is unique within the kind, never empty.
	name string
	// body is the canonical JSON of the object: sorted keys, no comments.
	body string
	// fields are the keys that the object may have.
	fields []Field
	// values maps each key that was present to a string, float64, bool or []string.
	values map[string]any
	// origin locates the object in its file.
	origin position
	// keyOrigins locates the value of each key that was present; nil once the configuration is checked.
	keyOrigins map[string]position
}

// position is a place in a source file.
type position struct {
	// file is the path as given.
	file string
	// line and column count from 1.
	line, column int
}

// Kind returns the object's kind.
func (o *Object) Kind() Kind { return o.kind }

// Name returns the object's name.
func (o *Object) Name() string { return o.name }

// Body returns the object as canonical JSON.
func (o *Object) Body() string { return o.body }

// ID returns "kind name", which is unique in a configuration.
func (o *Object) ID() string { return string(o.kind) + " " + o.name }

// value returns what was written for a key, or the key's fallback.
func (o *Object) value(key string) any {
	if value, present := o.values[key]; present {
		return value
	}
	for i := range o.fields {
		if o.fields[i].key == key {
			return o.fields[i].fallback
		}
	}
	return nil
}

// Text returns the value of a text field, or "".
func (o *Object) Text(key string) string {
	text, _ := o.value(key).(string)
	return text
}

// Number returns the value of a number field, or 0.
func (o *Object) Number(key string) float64 {
	number, _ := o.value(key).(float64)
	return number
}

func (o *Object) flag(key string) bool {
	flag, _ := o.value(key).(bool)
	return flag
}

func (o *Object) list(key string) []string {
	list, _ := o.value(key).([]string)
	return list
}

// has reports whether the key was written in the source.
func (o *Object) has(key string) bool {
	if o.keyOrigins == nil {
		_, present := o.values[key]
		return present
	}
	_, present := o.keyOrigins[key]
	return present
}

func (o *Object) positionOf(key string) position {
	if origin, present := o.keyOrigins[key]; present {
		return origin
	}
	return o.origin
}

// bytesPerGiB converts the configuration's memory unit.
const bytesPerGiB = 1 << 30

func gibibytes(number float64) int64 { return int64(number * bytesPerGiB) }

// Deployment holds the limits and weights of the installation.
type Deployment struct{ object *Object }

// Zones returns the availability zones.
func (d Deployment) Zones() []string { return d.object.list("zones") }

// Rate returns the loads a second that the weight store allows.
func (d Deployment) Rate() float64 { return d.object.Number("rate") }

// Parallel returns how many loads run at once at full speed.
func (d Deployment) Parallel() int { return int(d.object.Number("parallel")) }

// Transit returns how many adapters may be in transit over all workers.
func (d Deployment) Transit() int { return int(d.object.Number("transit")) }

// ColdWeight returns the cost of one second of cold-start wait.
func (d Deployment) ColdWeight() float64 { return d.object.Number("cold") }

// IdleWeight returns the cost of one idle accelerator second.
func (d Deployment) IdleWeight() float64 { return d.object.Number("idle") }

// Worker describes a group of equal endpoints in one zone.
type Worker struct{ object *Object }

// Name returns the group's name.
func (w Worker) Name() string { return w.object.name }

// Zone returns the availability zone.
func (w Worker) Zone() string { return w.object.Text("zone") }

// Count returns how many endpoints the group has.
func (w Worker) Count() int { return int(w.object.Number("count")) }

// RunsModels reports whether the endpoints are model engines.
func (w Worker) RunsModels() bool { return w.object.Text("runs") == RunsModels }

// Service returns the service that the endpoints run, or "".
func (w Worker) Service() string { return w.object.Text("service") }

// Memory returns the bytes for models at one endpoint.
func (w Worker) Memory() int64 { return gibibytes(w.object.Number("memory")) }

// Accelerators returns how many accelerators one endpoint has.
func (w Worker) Accelerators() int { return int(w.object.Number("accelerators")) }

// Slots returns how many requests one endpoint runs at once.
func (w Worker) Slots() int { return int(w.object.Number("slots")) }

// Fencing reports whether the endpoints refuse old fencing numbers.
func (w Worker) Fencing() bool { return w.object.flag("fencing") }

// Version is one checkpoint of a model.
type Version struct{ object *Object }

// Name returns the version's name.
func (v Version) Name() string { return v.object.name }

// Checkpoint returns the name in the weight store.
func (v Version) Checkpoint() string { return v.object.Text("checkpoint") }

// Memory returns the bytes that the version takes while loaded.
func (v Version) Memory() int64 { return gibibytes(v.object.Number("memory")) }

// LoadTime returns how long a load from the weight store takes.
func (v Version) LoadTime() time.Duration {
	return time.Duration(v.object.Number("load") * float64(time.Second))
}

// Model is a model that routes name.
type Model struct{ object *Object }

// Name returns the model's name.
func (m Model) Name() string { return m.object.name }

// Version returns the name of the version in force.
func (m Model) Version() string { return m.object.Text("version") }

// Least returns the replicas kept in each zone.
func (m Model) Least() int { return int(m.object.Number("least")) }

// Most returns the replicas allowed in each zone.
func (m Model) Most() int { return int(m.object.Number("most")) }

// Adapter is a small set of weights on top of a model.
type Adapter struct{ object *Object }

// Name returns the adapter's name.
func (a Adapter) Name() string { return a.object.name }

// Model returns the model that the adapter extends.
func (a Adapter) Model() string { return a.object.Text("model") }

// Checkpoint returns the name in the weight store.
func (a Adapter) Checkpoint() string { return a.object.Text("checkpoint") }

// Memory returns the bytes that the adapter takes while loaded.
func (a Adapter) Memory() int64 { return gibibytes(a.object.Number("memory")) }

// Service is a plain service beside the models.
type Service struct{ object *Object }

// Name returns the service's name.
func (s Service) Name() string { return s.object.name }

// Probe returns the path that answers 200 while an endpoint is well.
func (s Service) Probe() string { return s.object.Text("probe") }

// Route is what callers address.
type Route struct{ object *Object }

// Name returns the route's name.
func (r Route) Name() string { return r.object.name }

// Model returns the model that serves the route, or "".
func (r Route) Model() string { return r.object.Text("model") }

// Adapter returns the adapter that serves the route, or "".
func (r Route) Adapter() string { return r.object.Text("adapter") }

// Service returns the service that serves the route, or "".
func (r Route) Service() string { return r.object.Text("service") }

// Path returns the path prefix of a service route.
func (r Route) Path() string { return r.object.Text("path") }

// Idempotent reports whether a request may run twice.
func (r Route) Idempotent() bool { return r.object.flag("idempotent") }

// defaultRetries is the number of further attempts of an idempotent route.
const defaultRetries = 2

// Retries returns the further attempts after the first, zero for routes that are not idempotent.
func (r Route) Retries() int {
	if !r.Idempotent() {
		return 0
	}
	if !r.object.has("retries") {
		return defaultRetries
	}
	return int(r.object.Number("retries"))
}

// KeyRequired reports whether callers must send Idempotency-Key.
func (r Route) KeyRequired() bool { return r.object.Text("key") == KeyRequired }

// Keep returns how long idempotency keys are kept.
func (r Route) Keep() time.Duration {
	return time.Duration(r.object.Number("keep") * float64(time.Hour))
}

// Timeout returns the default time from arrival to deadline.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.object.Number("timeout") * float64(time.Millisecond))
}

// Class returns the default class of requests.
func (r Route) Class() string { return r.object.Text("class") }

// Fallback returns the route tried when this one refuses, or "".
func (r Route) Fallback() string { return r.object.Text("fallback") }

// Tenant is a caller organisation.
type Tenant struct{ object *Object }

// Name returns the tenant's name.
func (t Tenant) Name() string { return t.object.name }

// Weight returns the tenant's share under contention.
func (t Tenant) Weight() float64 { return t.object.Number("weight") }

// Limit returns the requests that may be in flight at one node.
func (t Tenant) Limit() int { return int(t.object.Number("limit")) }

// canonicalBody encodes the present values with the name and sorted keys.
func canonicalBody(name string, present map[string]any) string {
	withName := map[string]any{"name": name}
	for key, value := range present {
		withName[key] = value
	}
	body, err := json.Marshal(withName)
	if err != nil {
		return "" // Strings, numbers, booleans and string lists always encode.
	}
	return string(body)
}
