package planner

import (
	"encoding/json"
	"fmt"
)

// The phases of a charge. In PhaseLoading the load may still fail; in
// PhaseUnloading the unload is decided but not confirmed.
const (
	PhaseLoading   = "loading"
	PhaseReady     = "ready"
	PhaseUnloading = "unloading"
)

// Charge is the memory that a decision reserves on one worker for one unit.
type Charge struct {
	// Unit is "version" for a model version or "version/adapter" for an adapter on it.
	Unit string `json:"unit"`
	// Memory is in bytes, above 0.
	Memory int64 `json:"memory"`
	// Phase is loading, ready or unloading.
	Phase string `json:"phase"`
	// Order is the ID of the load order, unique over all leaders; empty for a
	// unit that was found on a worker without a charge.
	Order string `json:"order"`
	// Issuer is the incarnation of the leader that decided the load.
	Issuer string `json:"issuer"`
	// Settled is true once the load order can have no further effect.
	Settled bool `json:"settled,omitempty"`
}

// Row is a worker's decision row, which every leader of the zone writes and adopts.
type Row struct {
	// Epoch is the lease epoch of the leader that wrote the row.
	Epoch int64 `json:"epoch"`
	// Sequence is higher in every later write of the row.
	Sequence int64 `json:"sequence"`
	// Charges are in the order of their decisions.
	Charges []Charge `json:"charges"`
}

// Encode returns the row as JSON.
func (r Row) Encode() string {
	text, err := json.Marshal(r)
	if err != nil {
		return "" // A row holds only text and numbers, which always encode.
	}
	return string(text)
}

// DecodeRow parses a worker's decision row from JSON.
func DecodeRow(worker, text string) (Row, error) {
	var row Row
	if err := json.Unmarshal([]byte(text), &row); err != nil {
		return Row{}, fmt.Errorf("decode decision row of worker %q as JSON: %w", worker, err)
	}
	return row, nil
}

// chargedMemory returns the sum of all charges in bytes.
func (r Row) chargedMemory() int64 {
	var sum int64
	for _, charge := range r.Charges {
		sum += charge.Memory
	}
	return sum
}

// chargeIndex returns the index of a unit's charge, or -1.
func (r Row) chargeIndex(unit string) int {
	for i := range r.Charges {
		if r.Charges[i].Unit == unit {
			return i
		}
	}
	return -1
}

// clone returns a copy that shares no memory with the row.
func (r Row) clone() Row {
	r.Charges = append([]Charge(nil), r.Charges...)
	return r
}
