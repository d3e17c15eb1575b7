// Package trier lets requests that may crash workers through one at a time. A request
// is on trial while it is at a worker and one of its fingerprints is suspected of a
// crash; the others with that fingerprint, at all nodes, wait for its end. The leader
// of one zone decides whose turn it is.
package trier

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
)

const (
	// MaxDuration bounds a trial: a node that has ended never reports the end of its own.
	MaxDuration = 10 * time.Second
	// askTimeout bounds the call to a leader.
	askTimeout = 150 * time.Millisecond
	// askPause is the time after which a node asks again for a fingerprint that it was denied, askPauseOfNode what each node adds to it, so that a leader is
	// asked no more often at many nodes.
	askPause       = 100 * time.Millisecond
	askPauseOfNode = 2 * time.Millisecond
	// unledInterval is the mean time between two trials of a fingerprint of all nodes together that reach no leader.
	unledInterval = 3 * time.Second
	// assumedNodes is used as the number of nodes while that is not known.
	assumedNodes = 16
	// maxKeptTrials bounds the memory of a node and of a leader; further requests with suspected fingerprints wait.
	maxKeptTrials = 10_000
	// idleTime is how long a node remembers a fingerprint for which no trial is asked.
	idleTime = 2 * time.Minute
	// sweepInterval is the shortest time between two searches for what can be dropped.
	sweepInterval = 1 * time.Second
)

// Trial is the trial of one request.
type Trial struct {
	// Request identifies the caller's attempt, Node the node that sends it. Both together identify the trial.
	Request, Node string
	// Fingerprints are those of the request that are suspected, at least one.
	Fingerprints []string
	// Until is when the trial ends at the latest.
	Until time.Time
}

// Arbitration are the calls to the leader that decides. They return an error if no leader replies; each one that is asked has until the deadline.
type Arbitration struct {
	// Begin reports whether the trial may begin.
	Begin func(deadline time.Time, trial Trial) (granted bool, err error)
	// End ends the trial; others with its fingerprints may begin from freeAt on.
	End func(deadline time.Time, trial Trial, freeAt time.Time) error
}

// turn is what a node knows of one fingerprint.
type turn struct {
	// taken is set while a request of this node is on trial or asks for it.
	taken bool
	// deniedUntil is when this node may ask the leader again.
	deniedUntil time.Time
	// unledAt is when this node may begin a trial without a leader; zero while leaders reply.
	unledAt time.Time
	// usedAt is when a trial was last asked for.
	usedAt time.Time
}

// Trier is the side of a node. It is safe for concurrent use.
type Trier struct {
	// node is the node's name, nodes returns the number of nodes or 0 if unknown.
	node  string
	nodes func() int
	// arbitration are the calls to the leader, count increases a counter.
	arbitration Arbitration
	count       func(name string)
	// mu guards turns.
	mu sync.Mutex
	// turns holds what is known, by fingerprint.
	turns map[string]*turn
	// sweepAt is when turns may be searched for idle ones.
	sweepAt time.Time
}

// New returns a trier of a node without trials. The fields of Trier of the same names describe its parameters.
func New(node string, nodes func() int, arbitration Arbitration, count func(name string)) *Trier {
	return &Trier{node: node, nodes: nodes, arbitration: arbitration, count: count, turns: map[string]*turn{}}
}

// Begin begins the trial of a request if it is its turn, and reports whether it is; End must follow then. Without suspected fingerprints, it
// returns nil and true. A request that was denied may ask again at any time; this node asks the leader once in a pause for each fingerprint.
// Registered is set if the trial is to be registered in the store too, which lets one of several nodes send its request; then each node that
// reaches no leader may begin one in unledInterval.
func (t *Trier) Begin(request string, fingerprints []string, until time.Time, registered bool) (trial *Trial, begun bool) {
	if len(fingerprints) == 0 {
		return nil, true
	}
	now := time.Now()
	if latest := now.Add(MaxDuration); until.After(latest) {
		until = latest
	}
	turns, free := t.take(now, fingerprints)
	if !free {
		return nil, false
	}
	trial = &Trial{Request: request, Node: t.node, Fingerprints: fingerprints, Until: until}
	granted, err := t.arbitration.Begin(now.Add(askTimeout), *trial)
	t.mu.Lock()
	defer t.mu.Unlock()
	now = time.Now()
	unled := err != nil
	if unled {
		granted = t.beginUnled(now, turns, fingerprints, registered)
	}
	for _, turn := range turns {
		turn.taken = granted
		if !granted {
			turn.deniedUntil = now.Add(askPause + time.Duration(t.nodeCount())*askPauseOfNode)
		}
		if !unled {
			turn.unledAt = time.Time{}
		}
	}
	if !granted {
		t.count("trials denied")
		logger.Info("trial denied").Str("request", request).Strs("fingerprints", fingerprints).Bool("unled", unled).Err(err).Msg("trial denied")
		return nil, false
	}
	t.count("trials begun")
	logger.Info("trial begun").Str("request", request).Strs("fingerprints", fingerprints).Bool("unled", unled).Int64("left_ms", until.Sub(now).Milliseconds()).Err(err).Msg("trial begun")
	return trial, true
}

// take takes the turns of fingerprints if none of them is taken and this node may ask for all.
func (t *Trier) take(now time.Time, fingerprints []string) (turns []*turn, free bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropIdle(now)
	for _, fingerprint := range fingerprints {
		known := t.turns[fingerprint]
		if known == nil {
			if len(t.turns) >= maxKeptTrials {
				return nil, false
			}
			known = &turn{}
			t.turns[fingerprint] = known
		}
		known.usedAt = now
		if known.taken || now.Before(known.deniedUntil) {
			return nil, false
		}
		turns = append(turns, known)
	}
	for _, turn := range turns {
		turn.taken = true
	}
	return turns, true
}

// beginUnled reports whether a trial may begin without a leader. All nodes together begin one in unledInterval, or each does if trials are
// registered, at moments of its own. The caller holds mu.
func (t *Trier) beginUnled(now time.Time, turns []*turn, fingerprints []string, registered bool) bool {
	interval := unledInterval
	if !registered {
		interval *= time.Duration(t.nodeCount())
	}
	for i, turn := range turns {
		if turn.unledAt.IsZero() {
			const steps = 1 << 16
			turn.unledAt = now.Add(interval / steps * time.Duration(xxhash.Sum64String(t.node+"\x00"+fingerprints[i])%steps))
		}
	}
	if lo.SomeBy(turns, func(turn *turn) bool { return now.Before(turn.unledAt) }) {
		return false
	}
	for _, turn := range turns {
		turn.unledAt = now.Add(interval)
	}
	return true
}

// nodeCount returns the number of nodes.
func (t *Trier) nodeCount() int {
	if nodes := t.nodes(); nodes > 0 {
		return nodes
	}
	return assumedNodes
}

// End ends a trial that has begun; others with its fingerprints may begin from freeAt on, when the news of a crash has reached all nodes. It does nothing if
// trial is nil, and does not wait for the leader.
func (t *Trier) End(trial *Trial, freeAt time.Time) {
	if trial == nil {
		return
	}
	t.mu.Lock()
	for _, fingerprint := range trial.Fingerprints {
		if known := t.turns[fingerprint]; known != nil {
			known.taken, known.deniedUntil = false, freeAt
		}
	}
	t.mu.Unlock()
	now := time.Now()
	logger.Info("trial ended").Str("request", trial.Request).Strs("fingerprints", trial.Fingerprints).Int64("free_ms", max(freeAt.Sub(now).Milliseconds(), 0)).Msg("trial ended")
	go func() {
		if err := t.arbitration.End(now.Add(askTimeout), *trial, freeAt); err != nil {
			logger.Info("trial's end not reported").Str("request", trial.Request).Int64("ends_ms", trial.Until.Sub(now).Milliseconds()).Err(err).Msg("trial's end not reported")
		}
	}()
}

// dropIdle makes room if there are maxKeptTrials turns; the caller holds mu.
func (t *Trier) dropIdle(now time.Time) {
	if len(t.turns) < maxKeptTrials || now.Before(t.sweepAt) {
		return
	}
	t.sweepAt = now.Add(sweepInterval)
	t.turns = lo.OmitBy(t.turns, func(_ string, known *turn) bool { return !known.taken && now.Sub(known.usedAt) > idleTime })
}
