package configurer

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

// valueType names the type of a field's value.
type valueType string

const (
	typeText   valueType = "text"
	typeNumber valueType = "number"
	typeSwitch valueType = "true or false"
	typeList   valueType = "list of text"
)

// Field describes one key of an object: its type, range and meaning.
type Field struct {
	// key is the JSON key, one word.
	key string
	// valueType is the type that the value must have.
	valueType valueType
	// required is set when the key must be present.
	required bool
	// refers is the kind that the text names, or empty.
	refers Kind
	// least and most bound a number, both inclusive.
	least, most float64
	// oneOf lists the allowed texts, or is empty.
	oneOf []string
	// fallback is the value of an absent key: a string, float64, bool or nil.
	fallback any
	// help is one line for the help page.
	help string
}

// Key returns the field's JSON key.
func (f Field) Key() string { return f.key }

// Help returns the field's one-line description.
func (f Field) Help() string { return f.help }

// Type returns the name of the field's type.
func (f Field) Type() string { return string(f.valueType) }

// Required reports whether the key must be present.
func (f Field) Required() bool { return f.required }

// schemaKind describes the objects of one kind.
type schemaKind struct {
	// kind is the object kind.
	kind Kind
	// plural is the key of the list that holds the objects.
	plural string
	// help is one line for the help page.
	help string
	// fields are the allowed keys besides "name".
	fields []Field
}

// Classes of requests, from the most to the least urgent.
const (
	ClassUrgent = "urgent"
	ClassNormal = "normal"
	ClassBatch  = "batch"
)

// Classes returns all request classes, most urgent first.
func Classes() []string { return []string{ClassUrgent, ClassNormal, ClassBatch} }

// Values of a route's "key" field.
const (
	KeyRequired = "required"
	KeyOptional = "optional"
)

// Values of a worker group's "runs" field.
const (
	RunsModels  = "models"
	RunsService = "service"
)

// schema lists every kind in the order in which help and show print them.
var schema = []schemaKind{
	{KindDeployment, "deployments", "limits and weights of the whole installation; exactly one", []Field{
		{key: "region", valueType: typeText, help: "region that the zones belong to"},
		{key: "zones", valueType: typeList, required: true, help: "availability zones"},
		{key: "rate", valueType: typeNumber, required: true, least: 0.1, most: 10000, help: "loads a second that the weight store allows"},
		{key: "parallel", valueType: typeNumber, required: true, least: 1, most: 10000, help: "loads at once that run at full speed"},
		{key: "transit", valueType: typeNumber, least: 1, most: 10000, fallback: 32.0, help: "adapters in transit over all workers"},
		{key: "cold", valueType: typeNumber, least: 0, most: 1000, fallback: 1.0, help: "cost of one second of cold-start wait"},
		{key: "idle", valueType: typeNumber, least: 0, most: 1000, fallback: 1.0, help: "cost of one idle accelerator second"},
	}},
	{KindWorker, "workers", "a group of equal endpoints in one zone", []Field{
		{key: "zone", valueType: typeText, required: true, help: "availability zone"},
		{key: "count", valueType: typeNumber, required: true, least: 1, most: 10000, help: "endpoints in the group"},
		{key: "runs", valueType: typeText, oneOf: []string{RunsModels, RunsService}, fallback: RunsModels, help: "what the endpoints run"},
		{key: "service", valueType: typeText, refers: KindService, help: "service that the endpoints run"},
		{key: "memory", valueType: typeNumber, least: 0, most: 100000, fallback: 0.0, help: "memory for models in GiB"},
		{key: "accelerators", valueType: typeNumber, least: 0, most: 1024, fallback: 1.0, help: "accelerators of one endpoint"},
		{key: "slots", valueType: typeNumber, least: 1, most: 100000, fallback: 32.0, help: "requests that one endpoint runs at once"},
		{key: "fencing", valueType: typeSwitch, fallback: false, help: "whether the endpoints refuse old fencing numbers"},
	}},
	{KindVersion, "versions", "one checkpoint of a model", []Field{
		{key: "checkpoint", valueType: typeText, required: true, help: "name in the weight store"},
		{key: "memory", valueType: typeNumber, required: true, least: 0.001, most: 100000, help: "memory in GiB while loaded"},
		{key: "load", valueType: typeNumber, least: 0.001, most: 3600, fallback: 4.0, help: "seconds that a load from the weight store takes"},
	}},
	{KindModel, "models", "a model that routes name", []Field{
		{key: "version", valueType: typeText, required: true, refers: KindVersion, help: "version in force"},
		{key: "least", valueType: typeNumber, least: 0, most: 1000, fallback: 0.0, help: "replicas kept in each zone"},
		{key: "most", valueType: typeNumber, least: 1, most: 1000, fallback: 4.0, help: "replicas allowed in each zone"},
	}},
	{KindAdapter, "adapters", "a small set of weights on top of a model", []Field{
		{key: "model", valueType: typeText, required: true, refers: KindModel, help: "model that the adapter extends"},
		{key: "checkpoint", valueType: typeText, required: true, help: "name in the weight store"},
		{key: "memory", valueType: typeNumber, least: 0.0001, most: 1000, fallback: 0.05, help: "memory in GiB while loaded"},
	}},
	{KindService, "services", "a plain service beside the models", []Field{
		{key: "probe", valueType: typeText, fallback: "/health", help: "path that answers 200 while the endpoint is well"},
	}},
	{KindRoute, "routes", "what callers address", []Field{
		{key: "model", valueType: typeText, refers: KindModel, help: "model that serves the route"},
		{key: "adapter", valueType: typeText, refers: KindAdapter, help: "adapter that serves the route"},
		{key: "service", valueType: typeText, refers: KindService, help: "service that serves the route"},
		{key: "path", valueType: typeText, help: "path prefix of a service route"},
		{key: "idempotent", valueType: typeSwitch, fallback: true, help: "whether a request may run twice"},
		{key: "retries", valueType: typeNumber, least: 0, most: 10, help: "further attempts after the first"},
		{key: "key", valueType: typeText, oneOf: []string{KeyRequired, KeyOptional}, fallback: KeyOptional, help: "whether Idempotency-Key must be sent"},
		{key: "keep", valueType: typeNumber, least: 1, most: 8760, fallback: 24.0, help: "hours that idempotency keys are kept"},
		{key: "timeout", valueType: typeNumber, least: 1, most: 3600000, fallback: 30000.0, help: "default deadline in milliseconds after arrival"},
		{key: "class", valueType: typeText, oneOf: []string{ClassUrgent, ClassNormal, ClassBatch}, fallback: ClassNormal, help: "default class of requests"},
		{key: "fallback", valueType: typeText, refers: KindRoute, help: "route tried when this one refuses"},
	}},
	{KindTenant, "tenants", "a caller organisation", []Field{
		{key: "weight", valueType: typeNumber, least: 0.01, most: 1000, fallback: 1.0, help: "share under contention"},
		{key: "limit", valueType: typeNumber, least: 1, most: 1000000, fallback: 1000.0, help: "requests in flight at one node"},
	}},
}

// Kinds returns every kind in the order of help and show.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(schema))
	for _, entry := range schema {
		kinds = append(kinds, entry.kind)
	}
	return kinds
}

// Describe returns the plural key, the help line and the fields of a kind.
func Describe(kind Kind) (plural, help string, fields []Field) {
	entry := schemaOf(kind)
	return entry.plural, entry.help, entry.fields
}

func schemaOf(kind Kind) schemaKind {
	for _, entry := range schema {
		if entry.kind == kind {
			return entry
		}
	}
	return schemaKind{}
}

func schemaOfPlural(plural string) (schemaKind, bool) {
	for _, entry := range schema {
		if entry.plural == plural {
			return entry, true
		}
	}
	return schemaKind{}, false
}

func (s schemaKind) field(key string) (Field, bool) {
	for _, field := range s.fields {
		if field.key == key {
			return field, true
		}
	}
	return Field{}, false
}

// NewTextField returns a field that holds text.
func NewTextField(key string, required bool, fallback, help string) Field {
	return Field{key: key, valueType: typeText, required: required, fallback: fallback, help: help}
}

// NewNumberField returns a field that holds a number from least to most.
func NewNumberField(key string, least, most, fallback float64, help string) Field {
	return Field{key: key, valueType: typeNumber, least: least, most: most, fallback: fallback, help: help}
}

// NewChoiceField returns a field that holds one of several texts; the first is the fallback.
func NewChoiceField(key string, choices []string, help string) Field {
	return Field{key: key, valueType: typeText, oneOf: choices, fallback: choices[0], help: help}
}
