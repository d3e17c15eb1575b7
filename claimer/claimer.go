// Package claimer makes sure that a request with an idempotency key runs at
// most once: its key is claimed in the platform's table before it is sent.
package claimer

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/asserter"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// States of a claim.
const (
	stateRunning = "running"
	stateDone    = "done"
	stateUnknown = "unknown"
)

// Answer is the recorded answer of a request that ran.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
}

// claim is the value of a claim row.
type claim struct {
	// Attempt is the request id of the only attempt that may run.
	Attempt string `json:"attempt"`
	State   string `json:"state"`
	// Until is when the key may be forgotten, in Unix milliseconds.
	Until  int64   `json:"until"`
	Answer *Answer `json:"answer,omitempty"`
	// Fingerprint identifies the request's content.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Key identifies what is claimed.
type Key struct {
	Tenant, Route, Key string
}

// Shards is the number of parts into which claim rows are split for sweeping.
const Shards = 4096

// RowKey returns the key of the claim row.
func (k Key) RowKey() string {
	name := k.Tenant + "/" + k.Route + "/" + k.Key
	return fmt.Sprintf("%s%016x-%s", ShardPrefix(int(xxhash.Sum64String(name)%Shards)), xxhash.Sum64String(k.Key), name)
}

// ShardPrefix returns the common prefix of the rows in a shard.
func ShardPrefix(shard int) string { return fmt.Sprintf("claim/%03x/", shard) }

// TakenError says that another attempt has the key.
type TakenError struct {
	// answer is the recorded answer, or nil.
	answer *Answer
	// running is set while the other attempt may still be running.
	running bool
	// otherContent is set when the key was used for a different request.
	otherContent bool
}

// Error says what is known of the other attempt.
func (e *TakenError) Error() string {
	switch {
	case e.otherContent:
		return "idempotency key was used for a different request"
	case e.answer != nil:
		return "request has run and its answer is recorded"
	case e.running:
		return "an earlier attempt with this key has not ended"
	default:
		return "the end of an earlier attempt with this key is unknown"
	}
}

// Answer returns the recorded answer, or nil when there is none.
func (e *TakenError) Answer() *Answer { return e.answer }

// Running reports whether the other attempt may still be running.
func (e *TakenError) Running() bool { return e.running }

// OtherContent reports whether the key was used for a different request.
func (e *TakenError) OtherContent() bool { return e.otherContent }

// UnresolvedError says that it is not known whether the claim took effect, so
// that the request must not run.
type UnresolvedError struct {
	// cause is what kept the claim from being resolved, never nil.
	cause error
}

// Error returns the cause.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("claim could not be resolved: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.cause }

// Claim is a key that this node holds.
type Claim struct {
	// rowKey is the key of the claim row.
	rowKey string
	// value is the row as this node wrote it.
	value claim
	// version is the row's version in the table.
	version int64
	claimer *Claimer
}

// maxAnswerBytes bounds the body of a recorded answer.
const maxAnswerBytes = 256 << 10

// Claimer is safe for use by several goroutines.
type Claimer struct {
	platform *platformclient.Platform
	// mu guards waiting and committing.
	mu sync.Mutex
	// waiting are the writes for the next group commit.
	waiting []*write
	// committing is set while a group commit runs.
	committing bool
}

// New returns a claimer over a platform.
func New(platform *platformclient.Platform) *Claimer { return &Claimer{platform: platform} }

// Take claims a key for one attempt until its request's deadline. The error
// is a *TakenError or an *UnresolvedError; with either the request must not run.
func (c *Claimer) Take(key Key, attempt, fingerprint string, keepUntil, deadline time.Time) (*Claim, error) {
	value := claim{Attempt: attempt, State: stateRunning, Until: keepUntil.UnixMilli(), Fingerprint: fingerprint}
	version, conflict, err := c.submit(key.RowKey(), encode(value), 0, false, deadline)
	if err != nil {
		return nil, &UnresolvedError{cause: err}
	}
	if conflict == nil {
		return &Claim{rowKey: key.RowKey(), value: value, version: version, claimer: c}, nil
	}
	var other claim
	if err := json.Unmarshal([]byte(conflict.Value), &other); err != nil {
		return nil, &UnresolvedError{cause: fmt.Errorf("claim row %q: %w", conflict.Key, err)}
	}
	if other.Attempt == attempt {
		return &Claim{rowKey: key.RowKey(), value: value, version: conflict.Version, claimer: c}, nil
	}
	return nil, &TakenError{
		answer: other.Answer, running: other.State == stateRunning,
		otherContent: other.Fingerprint != fingerprint,
	}
}

func encode(value claim) string {
	text, err := json.Marshal(value)
	if err != nil {
		return "" // A claim holds only text, numbers and bytes, which always encode.
	}
	return string(text)
}

// recordTime bounds how long the recording of an end is tried.
const recordTime = 30 * time.Second

// Done records the answer of the attempt. It returns once the record is
// written, or after a while without it; the key then stays claimed.
func (c *Claim) Done(answer Answer, deadline time.Time) {
	value := c.value
	value.State = stateDone
	value.Answer = &answer
	if len(answer.Body) > maxAnswerBytes {
		value.State, value.Answer = stateUnknown, nil
	}
	c.record(value, deadline)
}

// Unknown records that the attempt may have run and its end is not known.
func (c *Claim) Unknown(deadline time.Time) {
	value := c.value
	value.State = stateUnknown
	c.record(value, deadline)
}

func (c *Claim) record(value claim, deadline time.Time) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, conflict, err := c.claimer.submit(c.rowKey, encode(value), c.version, false, time.Now().Add(recordTime))
		if err != nil {
			log.Warn().Str("request", value.Attempt).Err(err).Msg("end of a claimed request not recorded")
			return
		}
		ours := conflict == nil || conflict.Value == encode(value)
		_ = asserter.Check(ours, "at most once", "claim of request %s was replaced while it ran", value.Attempt)
	}()
	select {
	case <-written:
	case <-time.After(time.Until(deadline)):
	}
}

// Release frees the key of an attempt that surely never ran.
func (c *Claim) Release(deadline time.Time) {
	if _, _, err := c.claimer.submit(c.rowKey, "", c.version, true, deadline); err != nil {
		log.Warn().Str("request", c.value.Attempt).Err(err).Msg("claim not released")
	}
}

// Sweep deletes the expired claims of one shard and returns how many there were.
func (c *Claimer) Sweep(shard int, now time.Time) (int, error) {
	rows, err := c.platform.ReadRows(now.Add(sweepTime), nil, ShardPrefix(shard))
	if err != nil {
		return 0, fmt.Errorf("sweep claims of shard %d: %w", shard, err)
	}
	var transaction platformclient.Transaction
	for _, row := range rows {
		var value claim
		if json.Unmarshal([]byte(row.Value), &value) == nil && value.Until < now.UnixMilli() {
			transaction.Checks = append(transaction.Checks, platformclient.Check{Key: row.Key, Version: row.Version})
			transaction.Deletes = append(transaction.Deletes, row.Key)
		}
	}
	if len(transaction.Deletes) == 0 {
		return 0, nil
	}
	verdict, err := c.platform.Write(now.Add(sweepTime), transaction)
	if err != nil || !verdict.Done {
		return 0, err
	}
	return len(transaction.Deletes), nil
}

// sweepTime bounds each call of a sweep.
const sweepTime = 5 * time.Second

// IsTaken returns the *TakenError in err, or nil.
func IsTaken(err error) *TakenError {
	var taken *TakenError
	if errors.As(err, &taken) {
		return taken
	}
	return nil
}
