package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/acaciaproxy/acaciaproxy/follower"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// FuzzCompletionBody asserts that a body is refused or passed on as a JSON
// object that names the unit and keeps every other field.
func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model": "m", "stream": true, "messages": [{"role": "user", "content": "x"}]}`))
	f.Add([]byte(`{"model": 3}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var body completionBody
		if err := body.parse(text); err != nil {
			if asFailure(err).outcome != OutcomeRefused {
				t.Fatalf("a body that was not read ended as %q", asFailure(err).outcome)
			}
			return
		}
		encoded, err := body.encode("unit", 3)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(encoded, &fields); err != nil || string(fields["model"]) != `"unit"` {
			t.Fatalf("encoded as %s", encoded)
		}
		if len(fields) < len(body.fields) {
			t.Fatalf("fields were lost: %s became %s", text, encoded)
		}
	})
}

// FuzzEvents asserts that no bytes from an engine are handed to a caller
// unless each event carries the request's own id.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"own\",\"choices\":[]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"other\"}\n\n"))
	f.Add([]byte(": comment\n\n\n\n"))
	f.Fuzz(func(t *testing.T, events []byte) {
		if !bytes.HasSuffix(events, eventEnd) {
			return
		}
		r := &relay{attempt: &attempt{request: &call{id: "own", pinned: &follower.Pinned{}}}, gateway: &Gateway{parts: Parts{Recorder: recorder.New()}}}
		if err := r.accept(events); err != nil {
			return
		}
		for rest := events; len(rest) > 0; {
			var event []byte
			event, rest, _ = bytes.Cut(rest, eventEnd)
			if bytes.HasPrefix(event, eventHead) && !bytes.Contains(event, []byte(`"id":"own"`)) {
				t.Fatalf("event of another request passed: %q", event)
			}
		}
	})
}
