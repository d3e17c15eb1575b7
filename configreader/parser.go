package configreader

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

// maxFileBytes bounds the size of one configuration file.
const maxFileBytes = 8 << 20

// source is one text, with the objects and faults that parsing it found so far.
type source struct {
	// file is the path or name given to the parser.
	file string
	text []byte
	// lineStarts holds the byte offset of the start of each line, in order; nil until
	// the first position is computed.
	lineStarts []int
	objects    []*Object
	faults     []Fault
}

// ReadFolder parses every *.json file of a folder, in name order, and checks their
// objects together as one configuration. The error is a *FaultsError when the files
// could be read but have faults.
func ReadFolder(folder string) (*Configuration, error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("list files of configuration folder %q: %w", folder, err)
	}
	if len(paths) == 0 {
		return nil, fmt.Errorf("configuration folder %q contains no *.json file", folder)
	}
	sort.Strings(paths)
	sources := make([]*source, 0, len(paths))
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read configuration file %q: %w", path, err)
		}
		sources = append(sources, parseSource(path, text))
	}
	return buildFromSources(sources)
}

// Parse parses and checks one text that holds a complete configuration. The file name
// appears in faults only. The error is a *FaultsError.
func Parse(file string, text []byte) (*Configuration, error) {
	return buildFromSources([]*source{parseSource(file, text)})
}

// buildFromSources builds one configuration from the objects of all sources, or
// returns the faults of parsing and checking together.
func buildFromSources(sources []*source) (*Configuration, error) {
	var objects []*Object
	var faults []Fault
	for _, parsed := range sources {
		objects = append(objects, parsed.objects...)
		faults = append(faults, parsed.faults...)
	}
	configuration, checkFaults := buildConfiguration(objects)
	faults = append(faults, checkFaults...)
	if err := newFaultsError(faults); err != nil {
		return nil, err
	}
	return configuration, nil
}

// parseSource parses one text into objects and faults.
func parseSource(file string, text []byte) *source {
	parsed := &source{file: file, text: text}
	if len(text) > maxFileBytes {
		parsed.addFault(0, filepath.Base(file), "file has %d bytes; the limit is %d", len(text), maxFileBytes)
		return parsed
	}
	root, err := hujson.Parse(text)
	if err != nil {
		parsed.syntaxFault(err)
		return parsed
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		parsed.addFault(root.StartOffset, filepath.Base(file), "the file must hold one JSON object whose keys are %s", strings.Join(pluralKeys(), ", "))
		return parsed
	}
	seenKeys := map[string]bool{}
	for _, member := range object.Members {
		parsed.parseList(member, seenKeys)
	}
	return parsed
}

// pluralKeys returns the keys of the lists that a configuration file may hold.
func pluralKeys() []string {
	return lo.Map(schema, func(entry kindSchema, _ int) string { return entry.plural })
}

// syntaxFault adds the fault for a syntax error, which hujson formats as
// "hujson: line L, column C: text".
func (s *source) syntaxFault(err error) {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line, column := 1, 1
	if n, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr == nil && n == 2 {
		_, text, _ = strings.Cut(text, ": ")
	}
	s.faults = append(s.faults, Fault{file: s.file, line: line, column: column, object: filepath.Base(s.file), text: "not JSON with comments: " + text})
}

// position returns the line and column of a byte offset.
func (s *source) position(offset int) position {
	if s.lineStarts == nil {
		s.indexLines()
	}
	line := sort.SearchInts(s.lineStarts, offset+1)
	return position{file: s.file, line: line, column: offset - s.lineStarts[line-1] + 1}
}

// indexLines fills lineStarts.
func (s *source) indexLines() {
	s.lineStarts = []int{0}
	for offset, character := range s.text {
		if character == '\n' {
			s.lineStarts = append(s.lineStarts, offset+1)
		}
	}
}

// addFault records a fault at a byte offset.
func (s *source) addFault(offset int, object, format string, args ...any) {
	at := s.position(offset)
	s.faults = append(s.faults, Fault{file: at.file, line: at.line, column: at.column, object: object, text: fmt.Sprintf(format, args...)})
}

// parseList parses the list of the objects of one kind. seenKeys holds the keys of the
// lists already parsed.
func (s *source) parseList(member hujson.ObjectMember, seenKeys map[string]bool) {
	plural := literalText(member.Name)
	baseName := filepath.Base(s.file)
	entry, known := schemaOfPlural(plural)
	if !known {
		s.addFault(member.Name.StartOffset, baseName, "unknown key %q%s", plural, suggestion(plural, pluralKeys()))
		return
	}
	if seenKeys[plural] {
		s.addFault(member.Name.StartOffset, baseName, "key %q occurs twice; merge the two lists", plural)
	}
	seenKeys[plural] = true
	array, ok := member.Value.Value.(*hujson.Array)
	if !ok {
		s.addFault(member.Value.StartOffset, baseName, "%q must be a list of objects", plural)
		return
	}
	for i := range array.Elements {
		s.parseObject(entry, &array.Elements[i])
	}
}

// suggestion returns the end of a fault's text that names the closest candidate, or
// else all candidates.
func suggestion(word string, candidates []string) string {
	if closest := closestMatch(word, candidates); closest != "" {
		return fmt.Sprintf("; did you mean %q?", closest)
	}
	return "; known keys are " + strings.Join(candidates, ", ")
}

// parseObject parses one object. It drops an object without a valid name after
// checking its keys.
func (s *source) parseObject(entry kindSchema, value *hujson.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		s.addFault(value.StartOffset, string(entry.kind), "must be an object with a \"name\"")
		return
	}
	name, nameFault := objectName(object)
	parsed := &Object{
		kind:           entry.kind,
		name:           name,
		fields:         entry.fields,
		values:         map[string]any{},
		position:       s.position(value.StartOffset),
		valuePositions: map[string]position{},
	}
	if nameFault != "" {
		s.addFault(value.StartOffset, string(entry.kind), "%s", nameFault)
		parsed.name = "(unnamed)"
	}
	present := map[string]any{}
	for _, member := range object.Members {
		s.parseMember(entry, parsed, member, present)
	}
	s.checkRequired(entry, parsed, value.StartOffset)
	parsed.body = canonicalBody(name, present)
	if nameFault == "" {
		s.objects = append(s.objects, parsed)
	}
}

// objectName returns the name of an object, or the text of a fault.
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
			return "", fmt.Sprintf("\"name\" %q must be 1 to 80 letters, digits, dots, dashes or underscores", name)
		}
		return name, ""
	}
	return "", "\"name\" is missing; it must be text"
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

// parseMember parses one key of an object into object.values and into present, the
// values for the canonical JSON.
func (s *source) parseMember(entry kindSchema, object *Object, member hujson.ObjectMember, present map[string]any) {
	key := literalText(member.Name)
	if key == "name" {
		return
	}
	field, known := entry.field(key)
	if !known {
		keys := lo.Map(entry.fields, func(field Field, _ int) string { return field.key })
		s.addFault(member.Name.StartOffset, object.ID(), "unknown key %q%s", key, suggestion(key, keys))
		return
	}
	if object.has(key) {
		s.addFault(member.Name.StartOffset, object.ID(), "key %q occurs twice; only one is allowed", key)
		return
	}
	object.valuePositions[key] = s.position(member.Value.StartOffset)
	value, err := fieldValue(field, member.Value)
	if err != nil {
		s.addFault(member.Value.StartOffset, object.ID(), "%q %s", key, err)
		return
	}
	present[key] = value
	object.values[key] = value
}

// checkRequired reports the required keys that are missing.
func (s *source) checkRequired(entry kindSchema, object *Object, offset int) {
	for _, field := range entry.fields {
		if field.required && !object.has(field.key) {
			s.addFault(offset, object.ID(), "%q is missing; it must be %s (%s)", field.key, field.valueType, field.help)
		}
	}
}

// ValueError reports a value of the wrong type or outside the allowed values.
type ValueError struct {
	// expected describes the allowed values.
	expected string
}

// Error returns "must be" and the allowed values.
func (e *ValueError) Error() string { return "must be " + e.expected }

// fieldValue returns the value of a field, or a *ValueError.
func fieldValue(field Field, value hujson.Value) (any, error) {
	switch field.valueType {
	case typeText:
		return textValue(field, value)
	case typeNumber:
		return numberValue(field, value)
	case typeBoolean:
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
	if len(field.choices) > 0 && !lo.Contains(field.choices, text) {
		return nil, &ValueError{expected: "one of " + strings.Join(field.choices, ", ") + "; it is " + strconv.Quote(text)}
	}
	return text, nil
}

func numberValue(field Field, value hujson.Value) (any, error) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '0' {
		return nil, &ValueError{expected: "a number"}
	}
	number := literal.Float()
	if number < field.minimum || number > field.maximum {
		return nil, &ValueError{expected: fmt.Sprintf("from %v to %v; it is %v", field.minimum, field.maximum, number)}
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

// literalText returns the decoded text of a JSON string, or "" for other values.
func literalText(value hujson.Value) string {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		return ""
	}
	return literal.String()
}

// AsFaults returns the faults of the *FaultsError that err wraps, or nil when there is none.
func AsFaults(err error) []Fault {
	var faults *FaultsError
	if errors.As(err, &faults) {
		return faults.faults
	}
	return nil
}

// ReadObject parses a text that holds one object with a name and the given fields,
// such as a settings file. The kind appears in faults only. The error is a *FaultsError.
func ReadObject(file string, text []byte, kind Kind, fields []Field) (*Object, error) {
	parsed := &source{file: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		parsed.syntaxFault(err)
		return nil, newFaultsError(parsed.faults)
	}
	parsed.parseObject(kindSchema{kind: kind, fields: fields}, &root)
	if err := newFaultsError(parsed.faults); err != nil {
		return nil, err
	}
	return parsed.objects[0], nil
}
