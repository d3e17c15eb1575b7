package configurer

import (
	"fmt"
	"sort"
	"strings"
)

// Fault is one thing that is wrong in a configuration.
type Fault struct {
	// file is the path as given, empty for a configuration not read from files.
	file string
	// line and column count from 1; column counts bytes.
	line, column int
	// object is "kind name", or the file's name for faults outside objects.
	object string
	// text says what is wrong and what would be right.
	text string
}

// String returns file:line:column: object: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", f.file, f.line, f.column, f.object, f.text)
}

// FaultsError reports every fault of a configuration, in file order.
type FaultsError struct {
	// faults is never empty.
	faults []Fault
}

// Faults returns the faults in the order of file, line and column.
func (e *FaultsError) Faults() []Fault { return e.faults }

// Error returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.faults))
	for i, fault := range e.faults {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

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

// nearest returns the candidate with the smallest edit distance to word,
// or "" when none is within half the word's length.
func nearest(word string, candidates []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, candidate := range candidates {
		if distance := editDistance(word, candidate); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two words.
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
