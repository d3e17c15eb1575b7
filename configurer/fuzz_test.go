package configurer

import (
	"os"
	"testing"
)

// FuzzParse asserts that no text makes the parser fail other than by faults,
// and that what it accepts it accepts again in its canonical form.
func FuzzParse(f *testing.F) {
	for _, path := range []string{"../examples/quickstart/configuration.json", "../examples/overhead/configuration.json", "../cases/check/all-faults/input/main.json", "../cases/check/broken-json/input/main.json"} {
		text, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"routes": [{"name": "a", "fallback": "a"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		parsed, err := Parse("fuzz", text)
		if err != nil {
			if len(AsFaults(err)) == 0 {
				t.Fatalf("an error without faults: %v", err)
			}
			return
		}
		again, err := Parse("again", parsed.Text())
		if err != nil {
			t.Fatalf("accepted once and then not: %v", err)
		}
		if edits := Diff(parsed, again); len(edits) > 0 {
			t.Fatalf("canonical form differs: %v", edits)
		}
	})
}
