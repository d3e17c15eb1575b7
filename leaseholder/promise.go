package leaseholder

import (
	"time"

	"github.com/phuslu/log"
)

// promiseLoop asks for promises beside the loop, which a write may hold up.
func (l *Leaseholder) promiseLoop() {
	ticker := time.NewTicker(step)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
			l.askSuccessors()
		}
	}
}

// storeAnswers reports whether the store answers a read within the probe's time.
// The read may take longer to fail, since it may have to connect first.
func (l *Leaseholder) storeAnswers() bool {
	answered := make(chan bool, 1)
	go func() {
		_, err := l.parts.Rows.ReadRows(time.Now().Add(probeTime), nil, "")
		answered <- err == nil
	}()
	select {
	case good := <-answered:
		return good
	case <-time.After(probeTime):
		return false
	}
}

// askSuccessors lets this node lead on while the store is away, if every
// successor promises not to take the lease.
func (l *Leaseholder) askSuccessors() {
	l.mu.Lock()
	now := l.parts.Now()
	epoch, leading := l.elector.Leading(now)
	successors := l.elector.Successors()
	stuck := !l.writingAt.IsZero() && now.Sub(l.writingAt) > slowWrite
	due := leading && (l.failing || stuck) && !l.resigned && !l.asking && len(successors) > 0 && now.Sub(l.askedAt) >= askPause
	if due {
		l.askedAt, l.asking = now, true
	}
	l.mu.Unlock()
	if !due {
		return
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.asking = false
	}()
	promises := make(chan bool, len(successors))
	for _, successor := range successors {
		go func() {
			given := l.parts.Ask(time.Now().Add(askTime), successor, epoch, promiseTime)
			if !given {
				log.Info().Str("zone", l.parts.Zone).Str("successor", successor.Node).Int64("epoch", epoch).Msg("promise not given")
			}
			promises <- given
		}()
	}
	all := true
	for range successors {
		all = <-promises && all
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if all {
		l.elector.HoldOverUntil(now.Add(promiseTime - driftMargin))
	}
}

// driftMargin is what a leader gives up of a promise for clocks that run at different rates.
const driftMargin = 100 * time.Millisecond

// Promise answers a leader that asks this node not to take the lease. A node
// that the store answers refuses, since the leader alone may have lost it.
func (l *Leaseholder) Promise(leader string, epoch int64, hold time.Duration) bool {
	if l.storeAnswers() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Promise(l.parts.Now(), leader, epoch, hold)
}
