package leaseholder

import (
	"time"

	"github.com/phuslu/log"
)

// promiseLoop requests promises in a goroutine of its own, because a slow write may
// block the lease loop.
func (l *Leaseholder) promiseLoop() {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.stopped:
			return
		case <-ticker.C:
			l.requestPromises()
		}
	}
}

// storeResponds reports whether the store responds to a read within probeTimeout. The
// read runs in the background, because it may take longer to fail when it has to
// connect first.
func (l *Leaseholder) storeResponds() bool {
	responded := make(chan bool, 1)
	go func() {
		_, err := l.dependencies.Rows.ReadRows(time.Now().Add(probeTimeout), nil, "")
		responded <- err == nil
	}()
	select {
	case succeeded := <-responded:
		return succeeded
	case <-time.After(probeTimeout):
		return false
	}
}

// requestPromises lets this node keep the lease while the store is unavailable, if
// every successor promises not to take it.
func (l *Leaseholder) requestPromises() {
	l.mu.Lock()
	now := l.dependencies.Now()
	epoch, leading := l.elector.Leading(now)
	successors := l.elector.Successors()
	writeSlow := !l.writeSentAt.IsZero() && now.Sub(l.writeSentAt) > slowWriteAfter
	due := leading && (l.storeFailing || writeSlow) && !l.resigned && !l.requestingPromises && len(successors) > 0 && now.Sub(l.promisesRequestedAt) >= promiseInterval
	if due {
		l.promisesRequestedAt, l.requestingPromises = now, true
	}
	l.mu.Unlock()
	if !due {
		return
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.requestingPromises = false
	}()
	promises := make(chan bool, len(successors))
	for _, successor := range successors {
		go func() {
			promised := l.dependencies.Ask(time.Now().Add(promiseTimeout), successor, epoch, promiseDuration)
			if !promised {
				log.Info().Str("zone", l.dependencies.Zone).Str("successor", successor.Node).Int64("epoch", epoch).Msg("promise not given")
			}
			promises <- promised
		}()
	}
	allPromised := true
	for range successors {
		allPromised = <-promises && allPromised
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if allPromised {
		l.elector.HoldOverUntil(now.Add(promiseDuration - driftMargin))
	}
}

// driftMargin is subtracted from the duration of a promise because the clocks of
// nodes run at different rates.
const driftMargin = 100 * time.Millisecond

// Promise handles the call of a leader that asks this node not to take the lease for
// the time hold. It refuses if the store responds to this node, because then perhaps
// only the leader cannot reach the store.
func (l *Leaseholder) Promise(leader string, epoch int64, hold time.Duration) bool {
	if l.storeResponds() {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elector.Promise(l.dependencies.Now(), leader, epoch, hold)
}
