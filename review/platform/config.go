package main

import "encoding/json"

// Paths of the routes.
const (
	pathQuick    = "/quick/"    // streaming, not resumable
	pathBatch    = "/batch/"    // streaming, resumable
	pathOnce     = "/record/"   // non_idempotent
	pathRead     = "/read/"     // idempotent
	modelService = "models-one" // the service of models
	plainService = "plain-one"  // the plain service
)

// configuration returns the operator's configuration.
func configuration(version int, models []model, capacityMB float64) string {
	route := func(name, prefix, kind, service string, aim, timeout, attempts int, resumable bool) map[string]any {
		r := map[string]any{"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "targetLatencyMs": aim, "timeoutMs": timeout, "maxAttempts": attempts, "priority": 0}
		if kind == "streaming" {
			r["gapAimMs"], r["sticky"] = 300, true
		}
		if resumable {
			r["resumable"] = true
		}
		return r
	}
	var encoded []any
	for _, m := range models {
		encoded = append(encoded, map[string]any{"name": m.name, "weightsMb": m.weightsMB, "loadTimeS": m.loadS, "diskS": m.diskS, "warmS": m.warmS, "adapters": m.adapters, "adapterSizeMb": adapterMB})
	}
	text, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			route("quick", pathQuick, "streaming", modelService, 300, 6000, 1, false), route("batch", pathBatch, "streaming", modelService, 3000, 13000, 2, true),
			route("record", pathOnce, "non_idempotent", plainService, 150, 1000, 1, false), route("read", pathRead, "idempotent", plainService, 150, 1000, 2, false),
		},
		"services": []any{
			map[string]any{"name": plainService},
			map[string]any{"name": modelService, "engine": map[string]any{"slots": 64, "weightsMb": capacityMB, "adapterSlots": adapterSlots, "loadsPerS": 12, "models": encoded}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 60000},
	})
	return string(text)
}
