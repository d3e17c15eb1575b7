package platformstandin

import (
	"sort"
	"strings"
	"sync"
)

// Row is one row of the table.
type Row struct {
	// Key identifies the row.
	Key string `json:"key"`
	// Value is the row's content, which the table does not interpret.
	Value string `json:"value"`
	// Version is set by the last write of the row and grows with each write; 0 means that the row does not exist.
	Version int64 `json:"version"`
}

// Check is the condition that a row has a certain version.
type Check struct {
	Key string `json:"key"`
	// Version is the required version; 0 requires that the row does not exist.
	Version int64 `json:"version"`
}

// Transaction is a set of writes that are applied atomically, and only if all checks hold.
type Transaction struct {
	Checks []Check `json:"checks,omitempty"`
	// Puts holds the rows to write; their versions are ignored.
	Puts []Row `json:"puts,omitempty"`
	// Deletes holds the keys of the rows to delete.
	Deletes []string `json:"deletes,omitempty"`
}

// WriteResult is the result of a transaction.
type WriteResult struct {
	// Done is set if the transaction was applied.
	Done bool `json:"done"`
	// Conflicts holds the current state of the rows whose checks failed.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Versions maps each written key to its new version.
	Versions map[string]int64 `json:"versions,omitempty"`
}

// table is an in-memory key-value table with transactions.
type table struct {
	// mu guards rows and lastVersion.
	mu   sync.Mutex
	rows map[string]Row
	// lastVersion is the last version assigned to any row. Versions never repeat, even for a row that is deleted and created again.
	lastVersion int64
}

func newTable() *table { return &table{rows: map[string]Row{}} }

// read returns the rows with the given keys and, if the prefix is not empty, those whose keys
// begin with it; rows that match both are returned twice.
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

// write applies a transaction, or returns the conflicts and changes nothing.
func (t *table) write(transaction Transaction) WriteResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	var result WriteResult
	for _, check := range transaction.Checks {
		if row := t.rows[check.Key]; row.Version != check.Version {
			result.Conflicts = append(result.Conflicts, Row{Key: check.Key, Value: row.Value, Version: row.Version})
		}
	}
	if len(result.Conflicts) > 0 {
		return result
	}
	result.Done = true
	result.Versions = map[string]int64{}
	for _, put := range transaction.Puts {
		t.lastVersion++
		t.rows[put.Key] = Row{Key: put.Key, Value: put.Value, Version: t.lastVersion}
		result.Versions[put.Key] = t.lastVersion
	}
	for _, key := range transaction.Deletes {
		delete(t.rows, key)
	}
	return result
}

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}
