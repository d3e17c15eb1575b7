// Package signalhandler registers for the signals of a node. It handles SIGHUP, which
// ends a process by default, from the package's initialisation on, so that a program
// that imports it survives a SIGHUP that is sent before main runs.
package signalhandler

import (
	"os"
	"os/signal"
	"syscall"
)

// startupSignals buffers a SIGHUP until Notify is called; further ones are dropped.
var startupSignals = make(chan os.Signal, 1)

func init() { signal.Notify(startupSignals, syscall.SIGHUP) }

// Notify sends SIGTERM, SIGINT and SIGHUP to the channel until stop is called. A
// SIGHUP that was received earlier is sent immediately, which blocks if the channel
// is full.
func Notify(signals chan os.Signal) (stop func()) {
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case received := <-startupSignals:
		signals <- received
	default:
	}
	return func() { signal.Stop(signals) }
}
