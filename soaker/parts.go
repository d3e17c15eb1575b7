package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Prompt parts of requests: sound and crashing ones share their first and third part.
const (
	firstPart = "a1a1a1a1"
	soundPart = "b2b2b2b2"
	thirdPart = "c3c3c3c3"
)

// Mean pauses between two requests with the crashing part and between two with the sound part, in a soak.
const (
	crashingPartPause = 400 * time.Millisecond
	soundPartPause    = 200 * time.Millisecond
	// crashingPartDelay is the time from the first request with the sound part to the first with the crashing one.
	crashingPartDelay = 3 * time.Second
)

// partCrashes is the number of crashes after which requests without the crashing part must not be refused for them any more.
const partCrashes = 5

// partAttempt is a request with the sound part.
type partAttempt struct {
	sentAt time.Time
	// began is set if the first event arrived, blamed if the request was refused for crashes.
	began, blamed bool
	// excused is set while nodes start again after a kill.
	excused bool
}

// partLoad sends requests with prompt parts. It is safe for concurrent use.
type partLoad struct {
	environment *environment
	// mu guards the fields below.
	mu       sync.Mutex
	attempts []partAttempt
	// excusedUntil is when the effect of the last kill ends; startedNumber numbers the requests.
	excusedUntil  time.Time
	startedNumber int
	// crashingUntil is when the last request with the crashing part was sent.
	crashingUntil time.Time
}

// excuse marks attempts until a time as those that a kill may affect.
func (l *partLoad) excuse(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.excusedUntil = until
}

// newID returns a new attempt ID.
func (l *partLoad) newID() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startedNumber++
	return fmt.Sprintf("part-%d", l.startedNumber)
}

// newAttempt returns a request with a middle part. All differ in their bodies and their last parts.
func (l *partLoad) newAttempt(middle string) fleetstandin.Attempt {
	id := l.newID()
	return fleetstandin.Attempt{
		Kind: fleetstandin.KindStream, Path: "/stream/x", ID: id, Model: l.environment.models[0], Body: "body of " + id,
		Parts: []string{firstPart, middle, thirdPart, "own" + id}, Timeout: requestTimeout,
	}
}

// sendCrashing sends a request with the crashing part to a node.
func (l *partLoad) sendCrashing(client *http.Client, n *node) {
	fleetstandin.SendAttempt(client, n.callerAddress, l.newAttempt(fleetstandin.CrashingPart))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crashingUntil = time.Now()
}

// sendSound sends a request with the sound part to a node and records its end.
func (l *partLoad) sendSound(client *http.Client, n *node) {
	l.sendRecorded(client, n, l.newAttempt(soundPart))
}

// sendAlike is sendSound for requests that are all alike.
func (l *partLoad) sendAlike(client *http.Client, n *node) {
	attempt := l.newAttempt(soundPart)
	attempt.Body, attempt.Parts = "alike", []string{firstPart, soundPart, thirdPart, "alike"}
	l.sendRecorded(client, n, attempt)
}

// sendRecorded sends a sound request to a node and records its end.
func (l *partLoad) sendRecorded(client *http.Client, n *node, sound fleetstandin.Attempt) {
	attempt := partAttempt{sentAt: time.Now()}
	result := fleetstandin.SendAttempt(client, n.callerAddress, sound)
	attempt.began, attempt.blamed = result.Began(), strings.Contains(result.Body, "crashes_workers")
	l.mu.Lock()
	defer l.mu.Unlock()
	attempt.excused = attempt.sentAt.Before(l.excusedUntil) || !l.excusedUntil.IsZero() && l.excusedUntil.After(time.Now())
	l.attempts = append(l.attempts, attempt)
}

// sendParts sends requests to random nodes, with a mean pause between them, until the load is stopped.
func (c *callers) sendParts(pause time.Duration, random *rand.Rand, send func(*http.Client, *node)) {
	defer c.running.Done()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout + timeoutTolerance}
	for c.sleep(time.Duration(random.ExpFloat64() * float64(pause))) {
		send(client, c.pick(random))
	}
}

// sendCrashingParts sends requests with the crashing part after crashingPartDelay until the load is stopped.
func (c *callers) sendCrashingParts(random *rand.Rand) {
	if c.environment.spec.Other != "" || !c.sleep(crashingPartDelay) {
		c.running.Done()
		return
	}
	c.sendParts(crashingPartPause, random, c.environment.parts.sendCrashing)
}

// blamed returns the breach of the guarantee that sound requests are not refused for the crashes that others caused, once that must be known.
func (l *partLoad) blamed(crashes []time.Time) []string {
	if len(crashes) == 0 {
		return nil
	}
	known := crashes[min(len(crashes), partCrashes)-1].Add(2 * faultEffectTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	count := lo.CountBy(l.attempts, func(a partAttempt) bool {
		return a.blamed && a.sentAt.After(known) && l.environment.hadNoFault(a.sentAt)
	})
	if count == 0 {
		return nil
	}
	return []string{fmt.Sprintf("LOST: %d sound requests were refused for crashes that others caused", count)}
}
