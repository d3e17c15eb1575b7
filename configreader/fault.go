package configreader

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one error in a configuration, with its position.
type Fault struct {
	// file is the path or name given to the parser, or "configuration" for a fault of the
	// configuration as a whole.
	file string
	// line and column count from 1; column counts bytes.
	line, column int
	// object is "kind name", the kind alone when there is no name, or the file's base
	// name for faults outside objects.
	object string
	// text says what is wrong and what is allowed.
	text string
}

// String returns file:line:column: object: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.file, f.line, f.column, f.object, f.text)
}

// FaultsError reports every fault of a configuration.
type FaultsError struct {
	// faults is sorted by file, line and column, never empty.
	faults []Fault
}

// Faults returns the faults sorted by file, line and column, at least one.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error returns one line for each fault, as Fault.String formats it.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.faults))
	for i, fault := range e.faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// newFaultsError sorts the faults and returns them as a *FaultsError, or nil when there are none.
func newFaultsError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	sort.SliceStable(faults, func(i, j int) bool {
		a, b := faults[i], faults[j]
		if a.file != b.file {
			return a.file < b.file
		}
		if a.line != b.line {
			return a.line < b.line
		}
		return a.column < b.column
	})
	return &FaultsError{faults: faults}
}

// closestMatch returns the candidate with the smallest edit distance to word, or ""
// when every distance is more than half the word's length.
func closestMatch(word string, candidates []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, candidate := range candidates {
		if distance := editDistance(word, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two words, in bytes.
func editDistance(a, b string) int {
	previous := make([]int, len(b)+1)
	for j := range previous {
		previous[j] = j
	}
	for i := 1; i <= len(a); i++ {
		current := make([]int, len(b)+1)
		current[0] = i
		for j := 1; j <= len(b); j++ {
			substitution := previous[j-1]
			if a[i-1] != b[j-1] {
				substitution++
			}
			current[j] = min(substitution, previous[j]+1, current[j-1]+1)
		}
		previous = current
	}
	return previous[len(b)]
}
