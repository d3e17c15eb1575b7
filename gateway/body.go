package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"iter"

	"github.com/gofiber/fiber/v3"
)

// Names of the fields of a completion request that the gateway uses.
const (
	fieldModel      = "model"
	fieldStream     = "stream"
	fieldMessages   = "messages"
	fieldPrompt     = "prompt"
	fieldResumeFrom = "resume_from"
)

// completionBody is the body of an OpenAI completion request. Fields that the gateway does not know are forwarded unchanged. It holds the body's bytes and
// nothing for each field: a body of many short fields would take many times its size.
type completionBody struct {
	Model  string
	Stream bool
	// object is a copy of the body, which is a valid JSON object.
	object []byte
	// messages and prompt are parts of object, or nil.
	messages, promptText []byte
}

// parse reads a body. Of fields with the same name that the gateway uses, the last one counts.
func (b *completionBody) parse(data []byte) error {
	if err := checkObject(data); err != nil {
		return newRejection(fiber.StatusBadRequest, "bad_body", "body must be a JSON object: "+err.Error())
	}
	b.object = bytes.Clone(data)
	var model, stream []byte
	for field := range members(b.object) {
		switch field.name() {
		case fieldModel:
			model = field.value
		case fieldStream:
			stream = field.value
		case fieldMessages:
			b.messages = field.value
		case fieldPrompt:
			b.promptText = field.value
		}
	}
	if err := json.Unmarshal(model, &b.Model); err != nil || b.Model == "" {
		return newRejection(fiber.StatusBadRequest, "bad_body", "\"model\" must be the name of a route")
	}
	if stream != nil {
		if err := json.Unmarshal(stream, &b.Stream); err != nil {
			return newRejection(fiber.StatusBadRequest, "bad_body", "\"stream\" must be true or false")
		}
	}
	return nil
}

// checkObject returns an error unless data is a JSON object, or null, which has no fields.
func checkObject(data []byte) error {
	var object struct{}
	return json.Unmarshal(data, &object)
}

// prompt returns the messages and the prompt, which identify the request's content.
func (b *completionBody) prompt() []byte {
	return bytes.Join([][]byte{b.messages, b.promptText}, nil)
}

// encode returns the body to send to an engine, with the unit as its model. If
// resumeFrom is above 0, the engine skips that many tokens of the response.
func (b *completionBody) encode(unit string, resumeFrom int) ([]byte, error) {
	encodedUnit, err := json.Marshal(unit)
	if err != nil {
		return nil, fmt.Errorf("encode unit %q: %w", unit, err)
	}
	encoded := make([]byte, 0, len(b.object)+len(encodedUnit)+len(`{"model":,"resume_from":}`)+20)
	encoded = append(append(encoded, `{"model":`...), encodedUnit...)
	if resumeFrom > 0 {
		encoded = fmt.Appendf(encoded, `,"resume_from":%d`, resumeFrom)
	}
	for field := range members(b.object) {
		if b.forwards(&field, resumeFrom > 0) {
			encoded = append(append(encoded, ','), field.text...)
		}
	}
	return append(encoded, '}'), nil
}

// forwards reports whether a field is sent to an engine as the caller sent it. Of fields with the same name that the gateway uses, only the last one
// is, since the gateway took that.
func (b *completionBody) forwards(field *member, resumes bool) bool {
	switch field.name() {
	case fieldModel:
		return false
	case fieldResumeFrom:
		return !resumes
	case fieldMessages:
		return isSame(field.value, b.messages)
	case fieldPrompt:
		return isSame(field.value, b.promptText)
	}
	return true
}

// isSame reports whether two parts of an object, neither of which is empty, begin at the same byte.
func isSame(a, b []byte) bool { return &a[0] == &b[0] }

// member is one field of a JSON object; its slices are parts of the object's text.
type member struct {
	// text is the whole field, key is its name as it is written, with quotes.
	text, key, value []byte
}

// name returns the name of the field.
func (m *member) name() string {
	if bytes.IndexByte(m.key, '\\') < 0 {
		return string(m.key[1 : len(m.key)-1])
	}
	var name string
	if err := json.Unmarshal(m.key, &name); err != nil {
		return "" // Cannot happen: the object is valid.
	}
	return name
}

// members yields the fields of a valid JSON object in their order; none for null.
func members(object []byte) iter.Seq[member] {
	return func(yield func(member) bool) {
		at := skipBlanks(object, 0)
		if at >= len(object) || object[at] != '{' {
			return
		}
		for at = skipBlanks(object, at+1); object[at] != '}'; {
			start := at
			at = endOfString(object, at)
			key := object[start:at]
			valueAt := skipBlanks(object, skipBlanks(object, at)+1) // After the colon.
			at = endOfValue(object, valueAt)
			if !yield(member{text: object[start:at], key: key, value: object[valueAt:at]}) {
				return
			}
			if at = skipBlanks(object, at); object[at] == ',' {
				at = skipBlanks(object, at+1)
			}
		}
	}
}

// skipBlanks returns the index of the first byte from at on that is no blank.
func skipBlanks(text []byte, at int) int {
	for at < len(text) && (text[at] == ' ' || text[at] == '\t' || text[at] == '\r' || text[at] == '\n') {
		at++
	}
	return at
}

// endOfString returns the index after the string that begins at a quote.
func endOfString(text []byte, at int) int {
	for at++; text[at] != '"'; at++ {
		if text[at] == '\\' {
			at++
		}
	}
	return at + 1
}

// endOfValue returns the index after the value that begins at an index.
func endOfValue(text []byte, at int) int {
	depth := 0
	for {
		switch text[at] {
		case '"':
			at = endOfString(text, at)
		case '{', '[':
			depth++
			at++
		case '}', ']':
			if depth == 0 {
				return at // The end of the object, after a number or a word.
			}
			depth--
			at++
		case ',', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return at
			}
			at++
			continue
		default:
			at++
			continue
		}
		if depth == 0 {
			return at
		}
	}
}
