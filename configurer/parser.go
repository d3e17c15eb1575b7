package configurer

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/samber/lo"
	"github.com/tailscale/hujson"
)

// maxFileBytes bounds one configuration file.
const maxFileBytes = 8 << 20

// source is one text being parsed, with the faults and objects found so far.
type source struct {
	file string
	text []byte
	// lineStarts are the offsets at which lines begin, in order.
	lineStarts []int
	objects    []*Object
	faults     []Fault
}

// ReadFolder parses and checks every *.json file of a folder, in name order.
// The error is a *FaultsError when the files could be read but are wrong.
func ReadFolder(folder string) (*Configuration, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("configuration folder %q: %w", folder, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("configuration folder %q holds no *.json file", folder)
	}
	sort.Strings(paths)
	sources := make([]*source, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("configuration file %q: %w", path, err)
		}
		sources = append(sources, parseSource(path, text))
	}
	return assemble(sources)
}

// Parse parses and checks one text that holds a whole configuration.
func Parse(file string, text []byte) (*Configuration, error) {
	return assemble([]*source{parseSource(file, text)})
}

func assemble(sources []*source) (*Configuration, error) {
	var objects []*Object
	var faults []Fault
	for _, parsed := range sources {
		objects = append(objects, parsed.objects...)
		faults = append(faults, parsed.faults...)
	}
	configuration, checkFaults := build(objects)
	faults = append(faults, checkFaults...)
	if err := newFaultsError(faults); err != nil {
		return nil, err
	}
	return configuration, nil
}

func parseSource(file string, text []byte) *source {
	parsed := &source{file: file, text: text}
	if len(text) > maxFileBytes {
		parsed.fault(0, filepath.Base(file), "file has %d bytes; the limit is %d", len(text), maxFileBytes)
		return parsed
	}
	root, err := hujson.Parse(text)
	if err != nil {
		parsed.syntaxFault(err)
		return parsed
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		parsed.fault(root.StartOffset, filepath.Base(file), "the file must hold one JSON object whose keys are %s", strings.Join(pluralKeys(), ", "))
		return parsed
	}
	seen := map[string]bool{}
	for _, member := range object.Members {
		parsed.parseList(member, seen)
	}
	return parsed
}

func pluralKeys() []string {
	return lo.Map(schema, func(entry schemaKind, _ int) string { return entry.plural })
}

// syntaxFault turns hujson's "hujson: line L, column C: text" into a fault.
func (s *source) syntaxFault(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line, column := 1, 1
	if n, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr == nil && n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	}
	s.faults = append(s.faults, Fault{file: s.file, line: line, column: column, object: filepath.Base(s.file), text: "not JSON with comments: " + text})
}

func (s *source) position(offset int) position {
	if s.lineStarts == nil {
		s.indexLines()
	}
	line := sort.SearchInts(s.lineStarts, offset+1)
	return position{file: s.file, line: line, column: offset - s.lineStarts[line-1] + 1}
}

// indexLines finds where the lines begin, once for each text.
func (s *source) indexLines() {
	s.lineStarts = []int{0}
	for offset, character := range s.text {
		if character == '\n' {
			s.lineStarts = append(s.lineStarts, offset+1)
		}
	}
}

func (s *source) fault(offset int, object, format string, args ...any) {
	at := s.position(offset)
	s.faults = append(s.faults, Fault{file: at.file, line: at.line, column: at.column, object: object, text: fmt.Sprintf(format, args...)})
}

func (s *source) parseList(member hujson.ObjectMember, seen map[string]bool) {
	plural := literalText(member.Name)
	place := filepath.Base(s.file)
	entry, known := schemaOfPlural(plural)
	if !known {
		s.fault(member.Name.StartOffset, place, "unknown key %q%s", plural, suggestion(plural, pluralKeys()))
		return
	}
	if seen[plural] {
		s.fault(member.Name.StartOffset, place, "key %q stands twice; merge the two lists", plural)
	}
	seen[plural] = true
	array, ok := member.Value.Value.(*hujson.Array)
	if !ok {
		s.fault(member.Value.StartOffset, place, "%q must be a list of objects", plural)
		return
	}
	for i := range array.Elements {
		s.parseObject(entry, &array.Elements[i])
	}
}

func suggestion(word string, candidates []string) string {
	if near := nearest(word, candidates); near != "" {
		return fmt.Sprintf("; did you mean %q?", near)
	}
	return "; known are " + strings.Join(candidates, ", ")
}

func (s *source) parseObject(entry schemaKind, value *hujson.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.fault(value.StartOffset, string(entry.kind), "must be an object with a name")
		return
	}
	name, nameFault := objectName(object)
	parsed := &Object{
		kind:       entry.kind,
		name:       name,
		fields:     entry.fields,
		values:     map[string]any{},
		origin:     s.position(value.StartOffset),
		keyOrigins: map[string]position{},
	}
	if nameFault != "" {
		s.fault(value.StartOffset, string(entry.kind), "%s", nameFault)
		parsed.name = "(unnamed)"
	}
	present := map[string]any{}
	for _, member := range object.Members {
		s.parseMember(entry, parsed, member, present)
	}
	s.checkAbsent(entry, parsed, value.StartOffset)
	parsed.body = canonicalBody(name, present)
	if nameFault == "" {
		s.objects = append(s.objects, parsed)
	}
}

func objectName(object *hujson.Object) (name, fault string) {
	for _, member := range object.Members {
		if literalText(member.Name) != "name" {
			continue
		}
		literal, ok := member.Value.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			return "", "\"name\" must be text"
		}
		name = literal.String()
		if !validName(name) {
			return "", fmt.Sprintf("name %q must have 1 to 80 letters, digits, dots, dashes or underscores", name)
		}
		return name, ""
	}
	return "", "has no \"name\""
}

// maxNameBytes bounds an object's name, which becomes part of store keys.
const maxNameBytes = 80

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return strings.IndexFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !letter && !strings.ContainsRune("._-", r)
	}) < 0
}

func (s *source) parseMember(entry schemaKind, object *Object, member hujson.ObjectMember, present map[string]any) {
	key := literalText(member.Name)
	if key == "name" {
		return
	}
	field, known := entry.field(key)
	if !known {
		keys := lo.Map(entry.fields, func(field Field, _ int) string { return field.key })
		s.fault(member.Name.StartOffset, object.ID(), "unknown key %q%s", key, suggestion(key, keys))
		return
	}
	if object.has(key) {
		s.fault(member.Name.StartOffset, object.ID(), "key %q stands twice", key)
		return
	}
	object.keyOrigins[key] = s.position(member.Value.StartOffset)
	value, err := fieldValue(field, member.Value)
	if err != nil {
		s.fault(member.Value.StartOffset, object.ID(), "%q %s", key, err)
		return
	}
	present[key] = value
	object.values[key] = value
}

// checkAbsent reports the required keys that are missing.
func (s *source) checkAbsent(entry schemaKind, object *Object, offset int) {
	for _, field := range entry.fields {
		if field.required && !object.has(field.key) {
			s.fault(offset, object.ID(), "%q is missing; it must be %s (%s)", field.key, field.valueType, field.help)
		}
	}
}

// ValueError says that a value does not fit its field.
type ValueError struct {
	// expected says which value would be right.
	expected string
}

// Error returns what the value must be.
func (e *ValueError) Error() string { return "must be " + e.expected }

func fieldValue(field Field, value hujson.Value) (any, error) {
	switch field.valueType {
	case typeText:
		return textValue(field, value)
	case typeNumber:
		return numberValue(field, value)
	case typeSwitch:
		literal, ok := value.Value.(hujson.Literal)
		if !ok || (literal.Kind() != 't' && literal.Kind() != 'f') {
			return nil, &ValueError{expected: "true or false"}
		}
		return literal.Bool(), nil
	default:
		return listValue(value)
	}
}

func textValue(field Field, value hujson.Value) (any, error) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return nil, &ValueError{expected: "text"}
	}
	text := literal.String()
	if len(field.oneOf) > 0 && !lo.Contains(field.oneOf, text) {
		return nil, &ValueError{expected: "one of " + strings.Join(field.oneOf, ", ") + "; it is " + strconv.Quote(text)}
	}
	return text, nil
}

func numberValue(field Field, value hujson.Value) (any, error) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return nil, &ValueError{expected: "a number"}
	}
	number := literal.Float()
	if number < field.least || number > field.most {
		return nil, &ValueError{expected: fmt.Sprintf("from %v to %v; it is %v", field.least, field.most, number)}
	}
	return number, nil
}

func listValue(value hujson.Value) (any, error) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		return nil, &ValueError{expected: "a list of text"}
	}
	list := make([]string, 0, len(array.Elements))
	for _, element := range array.Elements {
		literal, ok := element.Value.(hujson.Literal)
		if !ok || literal.Kind() != '"' {
			return nil, &ValueError{expected: "a list of text"}
		}
		list = append(list, literal.String())
	}
	return list, nil
}

// literalText returns the text of a JSON string, or "" for other values.
func literalText(value hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}

// AsFaults returns the faults when err is a *FaultsError, else nil.
func AsFaults(err error) []Fault {
	var faults *FaultsError
	if errors.As(err, &faults) {
		return faults.faults
	}
	return nil
}

// ReadObject parses a text that holds one object with a name and the given
// fields, such as a settings file. The error is a *FaultsError.
func ReadObject(file string, text []byte, kind Kind, fields []Field) (*Object, error) {
	parsed := &source{file: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		parsed.syntaxFault(err)
		return nil, newFaultsError(parsed.faults)
	}
	parsed.parseObject(schemaKind{kind: kind, fields: fields}, &root)
	if err := newFaultsError(parsed.faults); err != nil {
		return nil, err
	}
	return parsed.objects[0], nil
}
