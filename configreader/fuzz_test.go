package configreader

import (
	"os"
	"testing"
)

// FuzzParse asserts that every error of the parser lists faults, and that the
// canonical form of an accepted text is accepted too and equal to it.
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
				t.Fatalf("parse error without faults: %v", err)
			}
			return
		}
		reparsed, err := Parse("again", parsed.Text())
		if err != nil {
			t.Fatalf("text was accepted but its canonical form was not: %v", err)
		}
		if edits := Diff(parsed, reparsed); len(edits) > 0 {
			t.Fatalf("canonical form differs from the text by the edits %v", edits)
		}
	})
}
