package leader

import (
	"strconv"
	"strings"
	"time"
)

// NewIncarnation returns a name for this run of a node's process.
func NewIncarnation(node string, startedAt time.Time) string {
	return node + "@" + strconv.FormatInt(startedAt.UnixNano(), 36)
}

// nodeOf returns the host's name in an incarnation.
func nodeOf(incarnation string) string {
	node, _, _ := strings.Cut(incarnation, "@")
	return node
}
