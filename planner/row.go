package planner

import (
	"encoding/json"
	"fmt"
)

// Phases of a charge.
const (
	PhaseLoading   = "loading"
	PhaseReady     = "ready"
	PhaseUnloading = "unloading"
)

// Charge is memory of one worker that a decision has taken for one unit.
type Charge struct {
	// Unit is the model version, with "/" and the adapter when it has one.
	Unit string `json:"unit"`
	// Memory is in bytes, above 0.
	Memory int64 `json:"memory"`
	// Phase is loading, ready or unloading.
	Phase string `json:"phase"`
	// Order is the id of the load order, unique over all leaders.
	Order string `json:"order"`
	// Issuer is the incarnation that decided the load.
	Issuer string `json:"issuer"`
	// Settled is set once the load order can take effect no more than it has.
	Settled bool `json:"settled,omitempty"`
}

// Row is the value of a worker's decision row.
type Row struct {
	// Epoch is the lease epoch of the leader that wrote the row.
	Epoch int64 `json:"epoch"`
	// Sequence rises by one with every write of the row.
	Sequence int64 `json:"sequence"`
	// Charges are sorted in the order of decision.
	Charges []Charge `json:"charges"`
}

// Encode returns the row as text.
func (r Row) Encode() string {
	text, err := json.Marshal(r)
	if err != nil {
		return "" // A row holds only text and numbers, which always encode.
	}
	return string(text)
}

// DecodeRow parses the value of a decision row.
func DecodeRow(worker, text string) (Row, error) {
	var row Row
	if err := json.Unmarshal([]byte(text), &row); err != nil {
		return Row{}, fmt.Errorf("decision row of worker %q: %w", worker, err)
	}
	return row, nil
}

// memory returns the bytes of all charges.
func (r Row) memory() int64 {
	var sum int64
	for _, charge := range r.Charges {
		sum += charge.Memory
	}
	return sum
}

func (r Row) find(unit string) int {
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
