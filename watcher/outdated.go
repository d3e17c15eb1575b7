package watcher

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// startTime is how long after its first read of the configuration a node may find that it is outdated. A node that has run for longer has
	// a configuration in force that only rises.
	startTime = 5 * time.Second
	// maxBehindTime is how long a starting node may have an older configuration than a peer without getting a newer one; a read takes less.
	maxBehindTime = 300 * time.Millisecond
)

// outdatedState tells whether the configuration that a starting node has read is older than those of its peers: the store has come back from
// an older copy, and the operator has not written the configuration again.
type outdatedState struct {
	// mu guards everything below.
	mu sync.Mutex
	// firstReadAt is when the configuration was first read; zero before.
	firstReadAt time.Time
	// heard is the highest version that a peer has in force.
	heard int64
	// behindSince is when this node came to be behind heard, or last got a newer configuration while it was; zero while it is not.
	behindSince time.Time
	// readOlder is set while the last whole read of the configuration returned an older version than heard.
	readOlder bool
	// logged is set once an outdated configuration was logged.
	logged bool
}

// hear records the version of a peer; known is this node's version, 0 for none.
func (o *outdatedState) hear(now time.Time, version, known int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heard = max(o.heard, version)
	if known < o.heard && o.behindSince.IsZero() {
		o.behindSince = now
	}
}

// apply records that this node has a newer configuration.
func (o *outdatedState) apply(now time.Time, version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstReadAt.IsZero() {
		o.firstReadAt = now
	}
	o.behindSince = time.Time{}
	if version < o.heard {
		o.behindSince = now
	}
}

// confirm records the version that a whole read returned.
func (o *outdatedState) confirm(version int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.readOlder = version < o.heard
}

// isOutdated reports whether the configuration of a version must not be in force.
func (o *outdatedState) isOutdated(now time.Time, version int64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	outdated := o.readOlder && !o.behindSince.IsZero() && now.Sub(o.behindSince) > maxBehindTime && now.Sub(o.firstReadAt) < startTime
	if outdated && !o.logged {
		o.logged = true
		log.Warn().Int64("version", version).Int64("peers_version", o.heard).Int64("behind_ms", now.Sub(o.behindSince).Milliseconds()).
			Msg("configuration is older than those of other nodes; it is not in force")
	}
	return outdated
}
