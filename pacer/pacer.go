// Package pacer bounds the messages between nodes and leaders, so that a
// leader's work does not grow with the number of nodes.
package pacer

import "time"

const (
	// perNode is the pause for each node; a leader takes and sends at most about 125 messages a second that nobody waits for.
	perNode = 8 * time.Millisecond
	// Shortest and Longest bound the pause; the longest is the interval of a leader's heartbeats.
	Shortest = 15 * time.Millisecond
	Longest  = 400 * time.Millisecond
)

// Pause returns the pause between two messages that nobody waits for, when a
// leader hears of a number of nodes.
func Pause(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*perNode, Shortest), Longest)
}
