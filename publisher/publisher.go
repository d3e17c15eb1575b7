// Package publisher puts a checked configuration in force: a compare-and-set
// on one head row, rebased when other operators published meanwhile.
package publisher

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/follower"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// ConflictError says that another operator changed the same objects.
type ConflictError struct {
	// objects are the IDs that both sides changed, never empty.
	objects []string
	// version and operator are those of the other side's last change.
	version  int64
	operator string
}

// Error names the objects and the other operator's version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s also changed: %s", e.version, e.operator, strings.Join(e.objects, ", "))
}

// Objects returns the IDs that both sides changed.
func (e *ConflictError) Objects() []string { return e.objects }

// snapshotEvery is the number of versions between two snapshots.
const snapshotEvery = 50

// keptChanges is how many change rows the table keeps.
const keptChanges = 5000

// Limits of one publish.
const (
	attempts    = 20
	firstPause  = 20 * time.Millisecond
	longestWait = 2 * time.Second
	callTime    = 2 * time.Second
)

// Request is one publish.
type Request struct {
	// ID is unique for the publish, and the same when it is tried again.
	ID string
	// Operator is who publishes.
	Operator string
	// Base is the version on which the operator's edits stand.
	Base int64
	// Target is the whole configuration as the operator wants it.
	Target *configurer.Configuration
}

// Result is the outcome of a publish.
type Result struct {
	// Version is in force with the operator's edits.
	Version int64
	// Edits are what the publish changed.
	Edits []configurer.Edit
	// Rebased is set when versions after the base were kept.
	Rebased bool
}

// Publish puts the target in force. Edits of other operators since the base
// are kept when they touch other objects; else the error is a *ConflictError.
func Publish(platform *platformclient.Platform, request Request, deadline time.Time) (Result, error) {
	base, err := Load(platform, request.Base, deadline)
	if err != nil {
		return Result{}, fmt.Errorf("load base version %d: %w", request.Base, err)
	}
	edits := configurer.Diff(base.Configuration(), request.Target)
	pause := firstPause
	var lastErr error
	for range attempts {
		result, done, err := tryPublish(platform, request, edits, deadline)
		if done {
			return result, err
		}
		lastErr = err
		if time.Now().Add(pause).After(deadline) {
			break
		}
		time.Sleep(pause)
		pause = min(pause*2, longestWait)
	}
	return Result{}, fmt.Errorf("publish %s is not known to be in force: %w", request.ID, lastErr)
}

// tryPublish makes one attempt; done is false when the attempt may be repeated.
func tryPublish(platform *platformclient.Platform, request Request, edits []configurer.Edit, deadline time.Time) (Result, bool, error) {
	head, rowVersion, err := follower.ReadHead(callDeadline(deadline), platform)
	if err != nil {
		return Result{}, false, err
	}
	since, err := changesSince(platform, request.Base, head.Version, deadline)
	if err != nil {
		return Result{}, false, err
	}
	if own, found := lo.Find(since, func(c follower.Change) bool { return c.Publish == request.ID }); found {
		return Result{Version: own.Version, Edits: own.Edits, Rebased: own.Version > request.Base+1}, true, nil
	}
	if len(edits) == 0 {
		return Result{Version: head.Version}, true, nil
	}
	if err := overlap(edits, since); err != nil {
		return Result{}, true, err
	}
	current, err := Load(platform, head.Version, deadline)
	if err != nil {
		return Result{}, false, err
	}
	rebased, err := current.Configuration().Apply(edits)
	if err != nil {
		return Result{}, true, err
	}
	change := follower.Change{Version: head.Version + 1, Publish: request.ID, Operator: request.Operator, Edits: edits}
	if err := write(platform, head, rowVersion, change, rebased, deadline); err != nil {
		return Result{}, false, err
	}
	return Result{Version: change.Version, Edits: edits, Rebased: head.Version > request.Base}, true, nil
}

func callDeadline(deadline time.Time) time.Time {
	if limit := time.Now().Add(callTime); limit.Before(deadline) {
		return limit
	}
	return deadline
}

// RaceError says that another publish came first.
type RaceError struct {
	// version is the head's version when this publish was tried.
	version int64
}

// Error names the version.
func (e *RaceError) Error() string {
	return fmt.Sprintf("another publish replaced version %d first", e.version)
}

func write(platform *platformclient.Platform, head follower.Head, rowVersion int64, change follower.Change, whole *configurer.Configuration, deadline time.Time) error {
	next := follower.Head{Version: change.Version, Publish: change.Publish, Snapshot: head.Snapshot, Object: head.Object}
	if change.Version == 1 || change.Version%snapshotEvery == 0 {
		next.Snapshot, next.Object = change.Version, follower.SnapshotName(change.Version, change.Publish)
		if err := platform.PutObject(callDeadline(deadline), next.Object, whole.Text()); err != nil {
			return err
		}
	}
	changeText, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode change %d: %w", change.Version, err)
	}
	headText, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head %d: %w", change.Version, err)
	}
	verdict, err := platform.Write(callDeadline(deadline), platformclient.Transaction{
		Checks: []platformclient.Check{{Key: follower.HeadKey, Version: rowVersion}},
		Puts: []platformclient.Row{
			{Key: follower.ChangeKey(change.Version), Value: string(changeText)},
			{Key: follower.HeadKey, Value: string(headText)},
		},
		Deletes: []string{follower.ChangeKey(change.Version - keptChanges)},
	})
	if err != nil {
		return err
	}
	if !verdict.Done {
		return &RaceError{version: head.Version}
	}
	return nil
}

func overlap(edits []configurer.Edit, since []follower.Change) error {
	own := lo.SliceToMap(edits, func(edit configurer.Edit) (string, configurer.Edit) { return edit.ID(), edit })
	var conflict *ConflictError
	for _, change := range since {
		for _, edit := range change.Edits {
			if mine, touched := own[edit.ID()]; !touched || mine.Body == edit.Body {
				continue
			}
			if conflict == nil {
				conflict = &ConflictError{}
			}
			conflict.objects = append(conflict.objects, edit.ID())
			conflict.version, conflict.operator = change.Version, change.Operator
		}
	}
	if conflict == nil {
		return nil
	}
	conflict.objects = lo.Uniq(conflict.objects)
	return conflict
}

func changesSince(platform *platformclient.Platform, after, last int64, deadline time.Time) ([]follower.Change, error) {
	var keys []string
	for version := after + 1; version <= last; version++ {
		keys = append(keys, follower.ChangeKey(version))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := platform.ReadRows(callDeadline(deadline), keys, "")
	if err != nil {
		return nil, err
	}
	changes := make([]follower.Change, 0, len(rows))
	for _, row := range rows {
		var change follower.Change
		if err := json.Unmarshal([]byte(row.Value), &change); err != nil {
			return nil, fmt.Errorf("change row %q: %w", row.Key, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Load returns the configuration at a version, by the newest snapshot up to it
// and the changes since.
func Load(platform *platformclient.Platform, version int64, deadline time.Time) (*follower.Pinned, error) {
	reader := follower.New(platform, nil)
	if version == 0 {
		return reader.Current(), nil
	}
	head, _, err := follower.ReadHead(callDeadline(deadline), platform)
	if err != nil {
		return nil, err
	}
	if head.Snapshot > version {
		head.Snapshot = 0
	}
	head.Version = version
	if err := reader.Fetch(callDeadline(deadline), head); err != nil {
		return nil, err
	}
	if reader.Current().Version() != version {
		return nil, fmt.Errorf("version %d is not in the store", version)
	}
	return reader.Current(), nil
}
