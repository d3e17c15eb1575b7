// Package claimer runs a request with an idempotency key at most once: before
// the request is sent, a conditional write to the platform's table claims the key.
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

// States of a claim, as stored in its row.
const (
	stateRunning = "running"
	stateDone    = "done"
	stateUnknown = "unknown"
)

// Response is the recorded HTTP response of a request that ran.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"type"`
	Body        []byte `json:"body"`
}

// claim is the value of a claim row.
type claim struct {
	// Attempt is the request ID of the only attempt that may run.
	Attempt string `json:"attempt"`
	// State is stateRunning, stateDone or stateUnknown.
	State string `json:"state"`
	// ExpiresMS is when the row may be deleted, in Unix milliseconds.
	ExpiresMS int64     `json:"until"`
	Response  *Response `json:"answer,omitempty"`
	// Fingerprint identifies the request's content.
	Fingerprint string `json:"fingerprint,omitempty"`
}

// Key is an idempotency key; it is unique only within a tenant and a route.
type Key struct {
	Tenant, Route, Key string
}

// ShardCount is the number of key prefixes over which claim rows are spread, so that
// one sweep reads only a part of them.
const ShardCount = 4096

// RowKey returns the table key of the claim row: the shard prefix, a hash of the
// idempotency key, and "tenant/route/key".
func (k Key) RowKey() string {
	name := k.Tenant + "/" + k.Route + "/" + k.Key
	return fmt.Sprintf("%s%016x-%s", ShardPrefix(int(xxhash.Sum64String(name)%ShardCount)), xxhash.Sum64String(k.Key), name)
}

// ShardPrefix returns the common prefix of the row keys in a shard, from 0 to ShardCount-1.
func ShardPrefix(shard int) string { return fmt.Sprintf("claim/%03x/", shard) }

// TakenError reports that the key is claimed for another attempt.
type TakenError struct {
	// response is the recorded response of the other attempt, or nil.
	response *Response
	// running is set while the other attempt may still be running.
	running bool
	// contentDiffers is set when the key was claimed for a request with another fingerprint.
	contentDiffers bool
}

// Error returns what is known about the other attempt.
func (e *TakenError) Error() string {
	switch {
	case e.contentDiffers:
		return "idempotency key was used for a different request"
	case e.response != nil:
		return "an earlier attempt with this idempotency key has run and its answer is recorded"
	case e.running:
		return "an earlier attempt with this key has not ended"
	default:
		return "the end of an earlier attempt with this key is unknown"
	}
}

// Response returns the recorded response, or nil when there is none.
func (e *TakenError) Response() *Response { return e.response }

// Running reports whether the other attempt may still be running.
func (e *TakenError) Running() bool { return e.running }

// ContentDiffers reports whether the key was used for a different request.
func (e *TakenError) ContentDiffers() bool { return e.contentDiffers }

// UnresolvedError reports that it is unknown whether the claim was written, so
// the request must not run.
type UnresolvedError struct {
	// cause is why the outcome of the claim is unknown, never nil.
	cause error
}

// Error includes the cause.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("claim could not be resolved: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.cause }

// Claim is an idempotency key that this node has claimed for one attempt.
type Claim struct {
	// rowKey is the key of the claim row.
	rowKey string
	// value is the row's value as this node first wrote it.
	value claim
	// version is the row's table version after that write.
	version int64
	claimer *Claimer
}

// maxResponseBytes bounds the body of a recorded response; a larger one is recorded as an unknown outcome.
const maxResponseBytes = 256 << 10

// Claimer writes claims in group commits. It is safe for concurrent use.
type Claimer struct {
	platform *platformclient.Platform
	// mu guards pending and committing.
	mu sync.Mutex
	// pending holds the writes for the next group commits, in order of arrival.
	pending []*write
	// committing is set while a goroutine runs group commits.
	committing bool
}

// New returns a claimer that stores its rows in the platform's table.
func New(platform *platformclient.Platform) *Claimer { return &Claimer{platform: platform} }

// Acquire claims a key for an attempt, given by its request ID, at a request whose
// content has the fingerprint. It retries until the deadline of the request. The row is
// kept until keepUntil. The error is a *TakenError or an *UnresolvedError; after either
// the request must not run.
func (c *Claimer) Acquire(key Key, attempt, fingerprint string, keepUntil, deadline time.Time) (*Claim, error) {
	value := claim{Attempt: attempt, State: stateRunning, ExpiresMS: keepUntil.UnixMilli(), Fingerprint: fingerprint}
	version, conflict, err := c.submit(key.RowKey(), encodeClaim(value), 0, false, deadline)
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
		response: other.Response, running: other.State == stateRunning,
		contentDiffers: other.Fingerprint != fingerprint,
	}
}

func encodeClaim(value claim) string {
	text, err := json.Marshal(value)
	if err != nil {
		return "" // A claim holds only text, numbers and bytes, which always encode.
	}
	return string(text)
}

// recordTimeout bounds the attempts to record the outcome of a request.
const recordTimeout = 30 * time.Second

// RecordResponse records the response of the attempt. It returns when the record is
// written, or at the deadline while the write continues in the background. The key stays
// claimed if the write fails.
func (c *Claim) RecordResponse(response Response, deadline time.Time) {
	value := c.value
	value.State = stateDone
	value.Response = &response
	if len(response.Body) > maxResponseBytes {
		value.State, value.Response = stateUnknown, nil
	}
	c.record(value, deadline)
}

// RecordUnknown records that the attempt may have run and that its outcome is unknown.
func (c *Claim) RecordUnknown(deadline time.Time) {
	value := c.value
	value.State = stateUnknown
	c.record(value, deadline)
}

// record writes the outcome into the claim row and waits for the write at most until the deadline.
func (c *Claim) record(value claim, deadline time.Time) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, conflict, err := c.claimer.submit(c.rowKey, encodeClaim(value), c.version, false, time.Now().Add(recordTimeout))
		if err != nil {
			log.Warn().Str("request", value.Attempt).Err(err).Msg("outcome of a request with an idempotency key not recorded")
			return
		}
		recorded := conflict == nil || conflict.Value == encodeClaim(value)
		_ = asserter.Check(recorded, "at most once", "claim row of request %s was changed by another writer while the request ran", value.Attempt)
	}()
	select {
	case <-written:
	case <-time.After(time.Until(deadline)):
	}
}

// Release deletes the claim of an attempt that is known not to have run.
func (c *Claim) Release(deadline time.Time) {
	if _, _, err := c.claimer.submit(c.rowKey, "", c.version, true, deadline); err != nil {
		log.Warn().Str("request", c.value.Attempt).Err(err).Msg("claim on an idempotency key not released")
	}
}

// Sweep deletes the expired claims of one shard and returns how many it deleted.
func (c *Claimer) Sweep(shard int, now time.Time) (int, error) {
	rows, err := c.platform.ReadRows(now.Add(sweepCallTimeout), nil, ShardPrefix(shard))
	if err != nil {
		return 0, fmt.Errorf("read claims of shard %d for a sweep: %w", shard, err)
	}
	var transaction platformclient.Transaction
	for _, row := range rows {
		var value claim
		if json.Unmarshal([]byte(row.Value), &value) == nil && value.ExpiresMS < now.UnixMilli() {
			transaction.Checks = append(transaction.Checks, platformclient.Check{Key: row.Key, Version: row.Version})
			transaction.Deletes = append(transaction.Deletes, row.Key)
		}
	}
	if len(transaction.Deletes) == 0 {
		return 0, nil
	}
	result, err := c.platform.Write(now.Add(sweepCallTimeout), transaction)
	if err != nil || !result.Done {
		return 0, err
	}
	return len(transaction.Deletes), nil
}

// sweepCallTimeout bounds each call to the platform during a sweep.
const sweepCallTimeout = 5 * time.Second

// AsTaken returns the *TakenError that err wraps, or nil when there is none.
func AsTaken(err error) *TakenError {
	var taken *TakenError
	if errors.As(err, &taken) {
		return taken
	}
	return nil
}
