package leader

import (
	"strconv"
	"strings"
	"time"
)

// NewIncarnation returns the name of one run of a node's process, in the form
// "node@start" with the start time in nanoseconds since 1970 in base 36.
func NewIncarnation(node string, startedAt time.Time) string {
	return node + "@" + strconv.FormatInt(startedAt.UnixNano(), 36)
}

// nodeOf returns the node's host name from an incarnation.
func nodeOf(incarnation string) string {
	node, _, _ := strings.Cut(incarnation, "@")
	return node
}
