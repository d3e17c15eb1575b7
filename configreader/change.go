package configreader

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// Edit adds, replaces or removes one object.
type Edit struct {
	// Kind and Name identify the object.
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Body is the object's canonical JSON, or "" when the object is removed.
	Body string `json:"body,omitempty"`
}

// ID returns "kind name" of the object that the edit changes.
func (e Edit) ID() string { return string(e.Kind) + " " + e.Name }

// Diff returns the edits that turn one configuration into another, sorted by ID.
// A nil configuration stands for the empty one.
func Diff(from, to *Configuration) []Edit {
	before, after := bodiesByID(from), bodiesByID(to)
	var edits []Edit
	for id, body := range after {
		if before[id] != body {
			edits = append(edits, newEdit(id, body))
		}
	}
	for id := range before {
		if _, kept := after[id]; !kept {
			edits = append(edits, newEdit(id, ""))
		}
	}
	sort.Slice(edits, func(i, j int) bool { return edits[i].ID() < edits[j].ID() })
	return edits
}

func newEdit(id, body string) Edit {
	kind, name, _ := strings.Cut(id, " ")
	return Edit{Kind: Kind(kind), Name: name, Body: body}
}

// bodiesByID maps the ID of each object to its canonical JSON.
func bodiesByID(c *Configuration) map[string]string {
	bodies := map[string]string{}
	if c == nil {
		return bodies
	}
	for id, object := range c.objects {
		bodies[id] = object.body
	}
	return bodies
}

// Apply returns the configuration after the edits, checked as a whole; the receiver
// is unchanged. A nil receiver stands for the empty configuration. The error is a
// *FaultsError when the result has faults.
func (c *Configuration) Apply(edits []Edit) (*Configuration, error) {
	bodies := bodiesByID(c)
	for _, edit := range edits {
		if edit.Body == "" {
			delete(bodies, edit.ID())
			continue
		}
		bodies[edit.ID()] = edit.Body
	}
	lists := map[string][]json.RawMessage{}
	for id, body := range bodies {
		kind, _, _ := strings.Cut(id, " ")
		plural := schemaOf(Kind(kind)).plural
		lists[plural] = append(lists[plural], json.RawMessage(body))
	}
	text, err := json.Marshal(lists)
	if err != nil {
		return nil, fmt.Errorf("encode edited configuration: %w", err)
	}
	return Parse("edits", text)
}
