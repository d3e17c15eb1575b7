// Package scripter reads the data files of scripted tests: JSON with comments.
package scripter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Read decodes a data file. Fields that the target does not have are errors,
// so that a misspelt one does not pass unnoticed.
func Read(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("data file: %w", err)
	}
	plain, err := hujson.Standardize(text)
	if err != nil {
		return fmt.Errorf("data file %s: %w", path, err)
	}
	decoder := json.NewDecoder(bytes.NewReader(plain))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("data file %s: %w", path, err)
	}
	return nil
}
