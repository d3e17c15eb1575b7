package main

import (
	"encoding/base64"
	"encoding/json"
)

// editBeat replaces the address in an encoded entry.
func editBeat(value, address string) string {
	text, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return value
	}
	var b map[string]any
	if json.Unmarshal(text, &b) != nil {
		return value
	}
	b["address"] = address
	edited, _ := json.Marshal(b)
	return base64.StdEncoding.EncodeToString(edited)
}
