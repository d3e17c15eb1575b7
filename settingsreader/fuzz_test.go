package settingsreader

import "testing"

// FuzzParse checks that Parse accepts no settings without a name or with a limit of 0.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"name": "n", "zone": "z", "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "nodes": "127.0.0.1:3", "platform": "127.0.0.1:4"}`))
	f.Add([]byte(`{"name": "n", "body": 0, "log": "loud"}`))
	f.Add([]byte(`// only a comment`))
	f.Fuzz(func(t *testing.T, text []byte) {
		settings, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		if settings.Name() == "" || settings.BodyLimit() <= 0 || settings.MaxInFlight() <= 0 || settings.ReadTimeout() <= 0 {
			t.Fatalf("Parse accepted settings without a name or with a limit of 0: %s", text)
		}
	})
}
