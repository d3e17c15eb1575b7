package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Limits of the guarantees on streams that callers take up. At most maxMixedStreams may hold events from two software versions. Those that are taken up
// go on at least minGoOnShare as often as new ones begin, if there are minTakenUp of them.
const (
	maxMixedStreams = 2
	minGoOnShare    = 0.5
	minTakenUp      = 12
	// maxTakeUps is how often a caller takes one stream up.
	maxTakeUps = 3
	// takeUpPause is the pause before a stream is taken up.
	takeUpPause = 50 * time.Millisecond
)

// streamAttempt is an attempt that requests a stream or takes one up.
type streamAttempt struct {
	sentAt time.Time
	// takesUp is set for a stream that had begun in an earlier attempt, began if an event arrived.
	takesUp, began bool
}

// streamLoad sends requests for streams and takes those up that break off, at any node. It is safe for concurrent use.
type streamLoad struct {
	environment *environment
	// mu guards the fields below.
	mu sync.Mutex
	// number numbers the attempts.
	number int
	// attempts are the attempts that met a node.
	attempts []streamAttempt
	// mixed holds the attempts whose streams had events of two software versions.
	mixed []string
}

// sendOne requests a stream from a node and takes it up at others until it is whole.
func (l *streamLoad) sendOne(client *http.Client, random *rand.Rand) {
	e := l.environment
	first, events := "", []fleetstandin.Event(nil)
	for range 1 + maxTakeUps {
		l.mu.Lock()
		l.number++
		id := fmt.Sprintf("stream-%d", l.number)
		l.mu.Unlock()
		attempt := fleetstandin.Attempt{
			Kind: fleetstandin.KindResumable, Path: "/resumable/x", ID: id, Model: e.models[random.IntN(modelCapacity)], Body: "body of " + id, Timeout: requestTimeout,
			Resumes: first, After: len(events),
		}
		n := e.nodes[random.IntN(len(e.nodes))]
		if !n.reachable(client) {
			time.Sleep(takeUpPause)
			continue
		}
		sentAt := time.Now()
		result := fleetstandin.SendAttempt(client, n.callerAddress, attempt)
		received := fleetstandin.ParseEvents(result.Body)
		l.add(streamAttempt{sentAt: sentAt, takesUp: first != "", began: len(received) > 0})
		if first == "" && len(received) > 0 {
			first = id
		}
		events = append(events, received...)
		if software := lo.Uniq(lo.Map(events, func(e fleetstandin.Event, _ int) string { return e.Software })); len(software) > 1 {
			l.addMixed(fmt.Sprintf("%s, taken up as %s at %s: %v", first, id, n.name, software))
			return
		}
		if len(events) >= fleetstandin.EventCount {
			return
		}
		time.Sleep(takeUpPause)
	}
}

func (l *streamLoad) add(attempt streamAttempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, attempt)
}

// counts returns how many of the attempts that no fault affected began, of those that take a stream up or of the others.
func (l *streamLoad) counts(takesUp bool) (began, sent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.attempts {
		if a.takesUp == takesUp && l.environment.hadNoFault(a.sentAt) {
			sent++
			began += lo.Ternary(a.began, 1, 0)
		}
	}
	return began, sent
}

func (l *streamLoad) addMixed(stream string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mixed = append(l.mixed, stream)
}

// check returns the breaches of the guarantees on streams that callers take up.
func (l *streamLoad) check() []string {
	wentOn, takenUp := l.counts(true)
	begun, sent := l.counts(false)
	l.mu.Lock()
	defer l.mu.Unlock()
	var breaches []string
	if len(l.mixed) > maxMixedStreams {
		breaches = append(breaches, fmt.Sprintf("ORDER: %d streams hold events from two software versions, %s among them", len(l.mixed), l.mixed[0]))
	}
	if takenUp >= minTakenUp && float64(wentOn)/float64(takenUp) < minGoOnShare*float64(begun)/float64(max(sent, 1)) {
		breaches = append(breaches, fmt.Sprintf("LOST: %d of %d streams that were taken up went on, %d of %d new ones began", wentOn, takenUp, begun, sent))
	}
	return breaches
}

// streamPause is the mean pause between two streams of the caller that takes streams up, in a soak.
const streamPause = 100 * time.Millisecond

// sendStreams requests streams and takes up those that break off until the load is stopped.
func (c *callers) sendStreams(random *rand.Rand) {
	defer c.running.Done()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + timeoutTolerance}
	for c.sleep(time.Duration(random.ExpFloat64() * float64(streamPause))) {
		c.environment.streams.sendOne(client, random)
	}
}
