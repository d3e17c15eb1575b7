// Package signaler keeps a process alive that gets SIGHUP while it is starting:
// by default that signal ends it. Who imports this package handles the signal from
// the initialisation of the program on, before its other packages and main.
package signaler

import (
	"os"
	"os/signal"
	"syscall"
)

// early takes the signals that nobody waits for yet; what does not fit is dropped.
var early = make(chan os.Signal, 1)

func init() { signal.Notify(early, syscall.SIGHUP) }

// Notify makes the signals that a node handles go to a channel, and returns the
// function that ends that. A SIGHUP from before is passed on.
func Notify(signals chan os.Signal) (stop func()) {
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case received := <-early:
		signals <- received
	default:
	}
	return func() { signal.Stop(signals) }
}
