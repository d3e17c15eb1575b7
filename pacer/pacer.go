// Package pacer limits the rate of routine messages between nodes and leaders: the
// more nodes a leader hears from, the longer is the pause between two messages, so
// that the leader's message rate does not grow until the pause reaches MaxPause.
package pacer

import "time"

const (
	// pausePerNode is the pause for each node; a leader thus receives at most about 125 routine messages per second and
	// sends as many, until the pause reaches MaxPause at 50 nodes.
	pausePerNode = 8 * time.Millisecond
	// MinPause and MaxPause bound the pause; MaxPause is thus the longest pause between two views of
	// a leader.
	MinPause = 15 * time.Millisecond
	MaxPause = 400 * time.Millisecond
)

// Pause returns the pause between two routine messages, for which no request
// waits, in either direction between a node and a leader that hears from the
// given number of nodes.
func Pause(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*pausePerNode, MinPause), MaxPause)
}
