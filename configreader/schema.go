package configreader

// Kind names one kind of configuration object, in the singular.
type Kind string

// The kinds of configuration object.
const (
	KindDeployment Kind = "deployment"
	KindWorker     Kind = "worker"
	KindVersion    Kind = "version"
	KindModel      Kind = "model"
	KindAdapter    Kind = "adapter"
	KindService    Kind = "service"
	KindRoute      Kind = "route"
	KindTenant     Kind = "tenant"
)

// valueType is the type of a field's value, under the name that the help pages print.
type valueType string

const (
	typeText    valueType = "text"
	typeNumber  valueType = "number"
	typeBoolean valueType = "true or false"
	typeList    valueType = "list of text"
)

// Field describes one key of an object: its type, allowed values, default and meaning.
type Field struct {
	// key is the JSON key, one word.
	key string
	// valueType is the type that the value must have.
	valueType valueType
	// required is set when the key must be present.
	required bool
	// referencedKind is the kind of the object that the text names; empty for other text.
	referencedKind Kind
	// minimum and maximum bound a number, both inclusive.
	minimum, maximum float64
	// choices lists the allowed texts; empty allows any text.
	choices []string
	// defaultValue is the value of an absent key: a string, float64, bool or nil.
	defaultValue any
	// help describes the field on the help pages, and in the fault of an object that lacks
	// the required key; one line.
	help string
}

// Key returns the field's JSON key, one word.
func (f Field) Key() string { return f.key }

// Help returns the field's description, one line.
func (f Field) Help() string { return f.help }

// Type returns the name of the field's type: "text", "number", "true or false" or "list of text".
func (f Field) Type() string { return string(f.valueType) }

// Required reports whether an object without the key has a fault.
func (f Field) Required() bool { return f.required }

// kindSchema describes the objects of one kind.
type kindSchema struct {
	kind Kind
	// plural is the key of the list that holds the objects.
	plural string
	// help describes the kind on the help pages, one line.
	help string
	// fields are the allowed keys besides "name".
	fields []Field
}

// Priority classes of requests, most urgent first.
const (
	ClassUrgent = "urgent"
	ClassNormal = "normal"
	ClassBatch  = "batch"
)

// Classes returns all priority classes, most urgent first.
func Classes() []string { return []string{ClassUrgent, ClassNormal, ClassBatch} }

// Values of a route's "key" field, which says whether Idempotency-Key must be sent.
const (
	KeyRequired = "required"
	KeyOptional = "optional"
)

// Values of a worker group's "runs" field, which says what its endpoints run.
const (
	RunsModels  = "models"
	RunsService = "service"
)

// schema lists every kind in the order in which the verbs help and show print them.
var schema = []kindSchema{
	{KindDeployment, "deployments", "limits and cost weights of the whole installation; exactly one", []Field{
		{key: "region", valueType: typeText, help: "region that the zones belong to"},
		{key: "zones", valueType: typeList, required: true, help: "availability zones"},
		{key: "rate", valueType: typeNumber, required: true, minimum: 0.1, maximum: 10000, help: "loads of models per second that the weight store allows"},
		{key: "parallel", valueType: typeNumber, required: true, minimum: 1, maximum: 10000, help: "concurrent loads of models that run at full speed"},
		{key: "transit", valueType: typeNumber, minimum: 1, maximum: 10000, defaultValue: 32.0, help: "maximum number of concurrent loads of adapters over all workers"},
		{key: "cold", valueType: typeNumber, minimum: 0, maximum: 1000, defaultValue: 1.0, help: "cost of one second of cold-start wait"},
		{key: "idle", valueType: typeNumber, minimum: 0, maximum: 1000, defaultValue: 1.0, help: "cost of one second of an idle accelerator"},
	}},
	{KindWorker, "workers", "a group of identical endpoints in one zone", []Field{
		{key: "zone", valueType: typeText, required: true, help: "availability zone"},
		{key: "count", valueType: typeNumber, required: true, minimum: 1, maximum: 10000, help: "number of endpoints in the group"},
		{key: "runs", valueType: typeText, choices: []string{RunsModels, RunsService}, defaultValue: RunsModels, help: "what the endpoints run"},
		{key: "service", valueType: typeText, referencedKind: KindService, help: "service that the endpoints run"},
		{key: "memory", valueType: typeNumber, minimum: 0, maximum: 100000, defaultValue: 0.0, help: "memory for models at one endpoint, in GiB"},
		{key: "accelerators", valueType: typeNumber, minimum: 0, maximum: 1024, defaultValue: 1.0, help: "number of accelerators of one endpoint"},
		{key: "slots", valueType: typeNumber, minimum: 1, maximum: 100000, defaultValue: 32.0, help: "maximum number of requests that one endpoint runs concurrently"},
		{key: "fencing", valueType: typeBoolean, defaultValue: false, help: "whether the endpoints reject orders with an old fencing number"},
	}},
	{KindVersion, "versions", "one checkpoint of a model", []Field{
		{key: "checkpoint", valueType: typeText, required: true, help: "name of the weights in the weight store"},
		{key: "memory", valueType: typeNumber, required: true, minimum: 0.001, maximum: 100000, help: "memory in GiB while loaded"},
		{key: "load", valueType: typeNumber, minimum: 0.001, maximum: 3600, defaultValue: 4.0, help: "seconds that a load from the weight store takes"},
	}},
	{KindModel, "models", "a model that routes and adapters refer to", []Field{
		{key: "version", valueType: typeText, required: true, referencedKind: KindVersion, help: "version in force"},
		{key: "least", valueType: typeNumber, minimum: 0, maximum: 1000, defaultValue: 0.0, help: "minimum number of replicas in each zone"},
		{key: "most", valueType: typeNumber, minimum: 1, maximum: 1000, defaultValue: 4.0, help: "maximum number of replicas in each zone"},
	}},
	{KindAdapter, "adapters", "a small set of weights applied on top of a model", []Field{
		{key: "model", valueType: typeText, required: true, referencedKind: KindModel, help: "model that the adapter extends"},
		{key: "checkpoint", valueType: typeText, required: true, help: "name of the weights in the weight store"},
		{key: "memory", valueType: typeNumber, minimum: 0.0001, maximum: 1000, defaultValue: 0.05, help: "memory in GiB while loaded"},
	}},
	{KindService, "services", "a plain service, whose endpoints run no models", []Field{
		{key: "probe", valueType: typeText, defaultValue: "/health", help: "path that returns status 200 while an endpoint is healthy"},
	}},
	{KindRoute, "routes", "a target that callers address: a model, an adapter or a service", []Field{
		{key: "model", valueType: typeText, referencedKind: KindModel, help: "model that serves the route"},
		{key: "adapter", valueType: typeText, referencedKind: KindAdapter, help: "adapter that serves the route"},
		{key: "service", valueType: typeText, referencedKind: KindService, help: "service that serves the route"},
		{key: "path", valueType: typeText, help: "path prefix of a service route"},
		{key: "idempotent", valueType: typeBoolean, defaultValue: true, help: "whether a request may run twice"},
		{key: "retries", valueType: typeNumber, minimum: 0, maximum: 10, help: "retries after the first attempt"},
		{key: "key", valueType: typeText, choices: []string{KeyRequired, KeyOptional}, defaultValue: KeyOptional, help: "whether Idempotency-Key must be sent"},
		{key: "keep", valueType: typeNumber, minimum: 1, maximum: 8760, defaultValue: 24.0, help: "hours that idempotency keys are kept"},
		{key: "timeout", valueType: typeNumber, minimum: 1, maximum: 3600000, defaultValue: 30000.0, help: "default deadline in milliseconds after arrival"},
		{key: "class", valueType: typeText, choices: []string{ClassUrgent, ClassNormal, ClassBatch}, defaultValue: ClassNormal, help: "default priority class of requests"},
		{key: "fallback", valueType: typeText, referencedKind: KindRoute, help: "route tried when this one refuses a request"},
	}},
	{KindTenant, "tenants", "an organisation that sends requests", []Field{
		{key: "weight", valueType: typeNumber, minimum: 0.01, maximum: 1000, defaultValue: 1.0, help: "relative share when requests of tenants compete"},
		{key: "limit", valueType: typeNumber, minimum: 1, maximum: 1000000, defaultValue: 1000.0, help: "maximum number of its requests in flight at one node"},
	}},
}

// Kinds returns every kind in schema order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(schema))
	for _, entry := range schema {
		kinds = append(kinds, entry.kind)
	}
	return kinds
}

// Describe returns the key of the list that holds objects of a kind, the help line
// and the fields of the kind. It returns zero values for an unknown kind.
func Describe(kind Kind) (plural, help string, fields []Field) {
	entry := schemaOf(kind)
	return entry.plural, entry.help, entry.fields
}

// schemaOf returns the schema of a kind, or an empty one for an unknown kind.
func schemaOf(kind Kind) kindSchema {
	for _, entry := range schema {
		if entry.kind == kind {
			return entry
		}
	}
	return kindSchema{}
}

// schemaOfPlural returns the schema of the kind whose list has a key.
func schemaOfPlural(plural string) (kindSchema, bool) {
	for _, entry := range schema {
		if entry.plural == plural {
			return entry, true
		}
	}
	return kindSchema{}, false
}

func (s kindSchema) field(key string) (Field, bool) {
	for _, field := range s.fields {
		if field.key == key {
			return field, true
		}
	}
	return Field{}, false
}

// NewTextField returns a field that holds any text.
func NewTextField(key string, required bool, defaultValue, help string) Field {
	return Field{key: key, valueType: typeText, required: required, defaultValue: defaultValue, help: help}
}

// NewNumberField returns a field that holds a number from minimum to maximum, both inclusive.
func NewNumberField(key string, minimum, maximum, defaultValue float64, help string) Field {
	return Field{key: key, valueType: typeNumber, minimum: minimum, maximum: maximum, defaultValue: defaultValue, help: help}
}

// NewChoiceField returns a field that holds one of several texts; the first is the default.
func NewChoiceField(key string, choices []string, help string) Field {
	return Field{key: key, valueType: typeText, choices: choices, defaultValue: choices[0], help: help}
}
