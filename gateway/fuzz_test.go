package gateway

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/recorder"
)

// FuzzCompletionBody checks that a body is either rejected or encoded as a JSON
// object with the unit as its model and every other field kept.
func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model": "m", "stream": true, "messages": [{"role": "user", "content": "x"}]}`))
	f.Add([]byte(`{"model": 3}`))
	f.Add([]byte(`[]`))
	f.Add([]byte(`null`))
	f.Add([]byte(` { "model" : "m" , "a":{"b":[1,"}\\"",{}]},"n":-1.5e3 ,"t":true, "resume_from":9,"z":null } `))
	f.Add([]byte(`{"mod\u0065l":"x","model":"m","prompt":"a","prompt":"b","a":1,"a":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var body completionBody
		if err := body.parse(data); err != nil {
			if asFailure(err).outcome != OutcomeRefused {
				t.Fatalf("a body that does not parse has outcome %q, expected a refusal", asFailure(err).outcome)
			}
			return
		}
		encoded, err := body.encode("unit", 3)
		if err != nil {
			t.Fatal(err)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(encoded, &fields); err != nil || string(fields["model"]) != `"unit"` {
			t.Fatalf("encoded body does not have the unit as its model: %s", encoded)
		}
		var wanted map[string]json.RawMessage
		if err := json.Unmarshal(data, &wanted); err != nil {
			t.Fatalf("a body that is no JSON object was taken: %s", data)
		}
		wanted["model"], wanted["resume_from"] = json.RawMessage(`"unit"`), json.RawMessage("3")
		if len(fields) != len(wanted) {
			t.Fatalf("encoded body has other fields: %s became %s", data, encoded)
		}
		for name, value := range wanted {
			if !bytes.Equal(fields[name], value) {
				t.Fatalf("field %q changed: %s became %s", name, data, encoded)
			}
		}
	})
}

// FuzzEvents checks that events from an engine are relayed to a caller only if each
// of them carries the request's id.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"own\",\"choices\":[]}\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: {\"id\":\"other\"}\n\n"))
	f.Add([]byte(": comment\n\n\n\n"))
	f.Fuzz(func(t *testing.T, events []byte) {
		if !bytes.HasSuffix(events, eventDelimiter) {
			return
		}
		r := &streamRelay{modelRequest: &modelRequest{request: &callerRequest{id: "own", versioned: &configfollower.VersionedConfiguration{}}}, gateway: &Gateway{dependencies: Dependencies{Recorder: recorder.New()}}}
		if err := r.acceptEvents(events); err != nil {
			return
		}
		for rest := events; len(rest) > 0; {
			var event []byte
			event, rest, _ = bytes.Cut(rest, eventDelimiter)
			if bytes.HasPrefix(event, dataEventPrefix) && !bytes.Contains(event, []byte(`"id":"own"`)) {
				t.Fatalf("event without the request's id was accepted: %q", event)
			}
		}
	})
}
