package configreader

import (
	"encoding/json"
	"time"
)

// Object is one named configuration object whose keys and values match the schema.
type Object struct {
	// kind is one of the schema's kinds.
	kind Kind
	// name is unique within the kind, never empty.
	name string
	// body is the canonical JSON of the object: sorted keys, no comments.
	body string
	// fields are the keys that the object may have.
	fields []Field
	// values maps each key that is present to a string, float64, bool or []string.
	values map[string]any
	// position is where the object starts in its file.
	position position
	// valuePositions maps each key that is present to where its value starts; nil once
	// the configuration is checked.
	valuePositions map[string]position
}

// position is a position in a source text.
type position struct {
	// file is the path or name given to the parser.
	file string
	// line and column count from 1; column counts bytes.
	line, column int
}

// Kind returns the object's kind, one of Kinds unless ReadObject was given another.
func (o *Object) Kind() Kind { return o.kind }

// Name returns the object's name, which is unique within the kind.
func (o *Object) Name() string { return o.name }

// Body returns the object as canonical JSON: sorted keys, no comments, only keys that are present.
func (o *Object) Body() string { return o.body }

// ID returns "kind name", which is unique in a configuration.
func (o *Object) ID() string { return string(o.kind) + " " + o.name }

// value returns the value of a key that is present, or the key's default.
func (o *Object) value(key string) any {
	if value, present := o.values[key]; present {
		return value
	}
	for i := range o.fields {
		if o.fields[i].key == key {
			return o.fields[i].defaultValue
		}
	}
	return nil
}

// Text returns the value or default of a text field, or "" when there is none.
func (o *Object) Text(key string) string {
	text, _ := o.value(key).(string)
	return text
}

// Number returns the value or default of a number field, or 0 when there is none.
func (o *Object) Number(key string) float64 {
	number, _ := o.value(key).(float64)
	return number
}

// boolean returns the value or default of a boolean field, or false when there is none.
func (o *Object) boolean(key string) bool {
	boolean, _ := o.value(key).(bool)
	return boolean
}

// list returns the value of a list field, or nil.
func (o *Object) list(key string) []string {
	list, _ := o.value(key).([]string)
	return list
}

// has reports whether the key is present. While the object is checked this includes
// a key whose value was rejected.
func (o *Object) has(key string) bool {
	if o.valuePositions == nil {
		_, present := o.values[key]
		return present
	}
	_, present := o.valuePositions[key]
	return present
}

// positionOf returns where the value of a key starts, or where the object starts
// when the key is absent.
func (o *Object) positionOf(key string) position {
	if at, present := o.valuePositions[key]; present {
		return at
	}
	return o.position
}

// bytesPerGiB converts memory, which the configuration gives in GiB, to bytes.
const bytesPerGiB = 1 << 30

func bytesOfGiB(number float64) int64 { return int64(number * bytesPerGiB) }

// Deployment holds the limits and cost weights of the whole installation.
type Deployment struct{ object *Object }

// Zones returns the names of the availability zones.
func (d Deployment) Zones() []string { return d.object.list("zones") }

// LoadRate returns how many loads of models per second the weight store allows.
func (d Deployment) LoadRate() float64 { return d.object.Number("rate") }

// ParallelLoads returns how many concurrent loads of models run at full speed.
func (d Deployment) ParallelLoads() int { return int(d.object.Number("parallel")) }

// ParallelAdapterLoads returns how many loads of adapters may run concurrently over all workers.
func (d Deployment) ParallelAdapterLoads() int { return int(d.object.Number("transit")) }

// ColdWeight returns the cost of one second of cold-start wait.
func (d Deployment) ColdWeight() float64 { return d.object.Number("cold") }

// IdleWeight returns the cost of one second of an idle accelerator.
func (d Deployment) IdleWeight() float64 { return d.object.Number("idle") }

// WorkerGroup is a group of identical endpoints in one zone, which run models or one service.
type WorkerGroup struct{ object *Object }

// Name returns the name of the worker group.
func (g WorkerGroup) Name() string { return g.object.name }

// Zone returns the availability zone of the group's endpoints.
func (g WorkerGroup) Zone() string { return g.object.Text("zone") }

// Count returns how many endpoints the group has.
func (g WorkerGroup) Count() int { return int(g.object.Number("count")) }

// RunsModels reports whether the endpoints run models rather than a service.
func (g WorkerGroup) RunsModels() bool { return g.object.Text("runs") == RunsModels }

// Service returns the name of the service that the endpoints run, or "".
func (g WorkerGroup) Service() string { return g.object.Text("service") }

// Memory returns the memory for models at one endpoint, in bytes.
func (g WorkerGroup) Memory() int64 { return bytesOfGiB(g.object.Number("memory")) }

// Accelerators returns how many accelerators one endpoint has.
func (g WorkerGroup) Accelerators() int { return int(g.object.Number("accelerators")) }

// Slots returns how many concurrent requests one endpoint runs.
func (g WorkerGroup) Slots() int { return int(g.object.Number("slots")) }

// Fencing reports whether the endpoints reject orders with an old fencing number.
func (g WorkerGroup) Fencing() bool { return g.object.boolean("fencing") }

// Version is a model version: one checkpoint of a model.
type Version struct{ object *Object }

// Name returns the name of the model version.
func (v Version) Name() string { return v.object.name }

// Checkpoint returns the name of the weights in the weight store.
func (v Version) Checkpoint() string { return v.object.Text("checkpoint") }

// Memory returns the memory that the version takes while loaded, in bytes.
func (v Version) Memory() int64 { return bytesOfGiB(v.object.Number("memory")) }

// LoadTime returns how long a load from the weight store takes.
func (v Version) LoadTime() time.Duration {
	return time.Duration(v.object.Number("load") * float64(time.Second))
}

// Model is a model that routes and adapters refer to.
type Model struct{ object *Object }

// Name returns the name of the model.
func (m Model) Name() string { return m.object.name }

// Version returns the name of the model version in force.
func (m Model) Version() string { return m.object.Text("version") }

// MinReplicas returns the minimum number of replicas in each zone.
func (m Model) MinReplicas() int { return int(m.object.Number("least")) }

// MaxReplicas returns the maximum number of replicas in each zone.
func (m Model) MaxReplicas() int { return int(m.object.Number("most")) }

// Adapter is a small set of weights applied on top of a model.
type Adapter struct{ object *Object }

// Name returns the name of the adapter.
func (a Adapter) Name() string { return a.object.name }

// Model returns the name of the model that the adapter extends.
func (a Adapter) Model() string { return a.object.Text("model") }

// Checkpoint returns the name of the weights in the weight store.
func (a Adapter) Checkpoint() string { return a.object.Text("checkpoint") }

// Memory returns the memory that the adapter takes while loaded, in bytes.
func (a Adapter) Memory() int64 { return bytesOfGiB(a.object.Number("memory")) }

// Service is a service whose endpoints run no models.
type Service struct{ object *Object }

// Name returns the name of the service.
func (s Service) Name() string { return s.object.name }

// ProbePath returns the path that answers 200 while an endpoint is healthy.
func (s Service) ProbePath() string { return s.object.Text("probe") }

// Route is a target that callers address: a model, an adapter or a service.
type Route struct{ object *Object }

// Name returns the name of the route.
func (r Route) Name() string { return r.object.name }

// Model returns the name of the model that serves the route, or "".
func (r Route) Model() string { return r.object.Text("model") }

// Adapter returns the name of the adapter that serves the route, or "".
func (r Route) Adapter() string { return r.object.Text("adapter") }

// Service returns the name of the service that serves the route, or "".
func (r Route) Service() string { return r.object.Text("service") }

// Path returns the path prefix of a service route, or "" for other routes.
func (r Route) Path() string { return r.object.Text("path") }

// Idempotent reports whether a request may run twice.
func (r Route) Idempotent() bool { return r.object.boolean("idempotent") }

// defaultRetries is the number of retries on an idempotent route without the key "retries".
const defaultRetries = 2

// Retries returns the number of retries after the first attempt, 0 for routes that are not idempotent.
func (r Route) Retries() int {
	if !r.Idempotent() {
		return 0
	}
	if !r.object.has("retries") {
		return defaultRetries
	}
	return int(r.object.Number("retries"))
}

// KeyRequired reports whether callers must send the header Idempotency-Key.
func (r Route) KeyRequired() bool { return r.object.Text("key") == KeyRequired }

// KeyRetention returns how long the claims of idempotency keys are kept.
func (r Route) KeyRetention() time.Duration {
	return time.Duration(r.object.Number("keep") * float64(time.Hour))
}

// Timeout returns the default time from arrival to deadline.
func (r Route) Timeout() time.Duration {
	return time.Duration(r.object.Number("timeout") * float64(time.Millisecond))
}

// Class returns the default priority class of requests, one of Classes.
func (r Route) Class() string { return r.object.Text("class") }

// Fallback returns the name of the route tried when this one rejects a request, or "".
func (r Route) Fallback() string { return r.object.Text("fallback") }

// Tenant is an organisation that sends requests.
type Tenant struct{ object *Object }

// Name returns the name of the tenant.
func (t Tenant) Name() string { return t.object.name }

// Weight returns the tenant's relative share when requests of tenants compete.
func (t Tenant) Weight() float64 { return t.object.Number("weight") }

// Limit returns how many requests of the tenant may be in flight at one node.
func (t Tenant) Limit() int { return int(t.object.Number("limit")) }

// canonicalBody encodes the name and the values that are present, with sorted keys.
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
