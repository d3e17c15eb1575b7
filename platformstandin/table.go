package platformstandin

import (
	"sort"
	"strings"
	"sync"
)

// Row is one row of the table.
type Row struct {
	// Key is the row's unique name.
	Key string `json:"key"`
	// Value is the row's text.
	Value string `json:"value"`
	// Version counts the writes of the row; 0 means that the row does not exist.
	Version int64 `json:"version"`
}

// Check requires a row to have a version.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Transaction is a set of writes that happen together if every check holds.
type Transaction struct {
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Row    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// Verdict says whether a transaction took effect.
type Verdict struct {
	Done bool `json:"done"`
	// Conflicts holds the rows whose checks failed, as they are.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Versions maps each written key to its new version.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// table is a transactional key-value table in memory.
type table struct {
	// mu guards rows and counter.
	mu   sync.Mutex
	rows map[string]Row
	// counter is the last version given out; versions never repeat, even for a row deleted and made again.
	counter int64
}

func newTable() *table { return &table{rows: map[string]Row{}} }

func (t *table) read(keys []string, prefix string) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := []Row{}
	for _, key := range keys {
		if row, ok := t.rows[key]; ok {
			found = append(found, row)
		}
	}
	if prefix == "" {
		return found
	}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found
}

func (t *table) write(transaction Transaction) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	var verdict Verdict
	for _, check := range transaction.Checks {
		if row := t.rows[check.Key]; row.Version != check.Version {
			verdict.Conflicts = append(verdict.Conflicts, Row{Key: check.Key, Value: row.Value, Version: row.Version})
		}
	}
	if len(verdict.Conflicts) > 0 {
		return verdict
	}
	verdict.Done = true
	verdict.Versions = map[string]int64{}
	for _, put := range transaction.Puts {
		t.counter++
		t.rows[put.Key] = Row{Key: put.Key, Value: put.Value, Version: t.counter}
		verdict.Versions[put.Key] = t.counter
	}
	for _, key := range transaction.Deletes {
		delete(t.rows, key)
	}
	return verdict
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}
