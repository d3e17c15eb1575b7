// Package casereader helps data-driven tests: it reads their data files, which are
// JSON with comments, and captures log lines.
package casereader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Read decodes a data file into the value that target points to. A field that target
// does not have is an error, so that a misspelt one is not ignored.
func Read(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read data file: %w", err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return fmt.Errorf("parse data file %s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("decode data file %s: %w", path, err)
	}
	return nil
}
