// Package pacer limits the rate of routine messages between nodes and leaders, so
// that a leader's load does not grow with the number of nodes.
package pacer

import "time"

const (
	// pausePerNode is the pause for each node; a leader thus receives and sends at most about 125 routine messages per
	// second.
	pausePerNode = 8 * time.Millisecond
	// MinPause and MaxPause bound the pause; MaxPause is also the interval of a leader's heartbeats.
	MinPause = 15 * time.Millisecond
	MaxPause = 400 * time.Millisecond
)

// Pause returns the pause between two routine messages, for which no request
// waits, in either direction between a node and a leader that hears from the
// given number of nodes.
func Pause(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*pausePerNode, MinPause), MaxPause)
}
