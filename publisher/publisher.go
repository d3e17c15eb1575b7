// Package publisher puts a checked configuration in force by a compare-and-set on
// one head row. It rebases the edits when other operators published meanwhile.
package publisher

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/configfollower"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// ConflictError reports that another operator changed the same objects in another way.
type ConflictError struct {
	// objects holds the IDs of the objects that both operators changed, never empty.
	objects []string
	// version and operator are those of the latest conflicting change.
	version  int64
	operator string
}

// Error names the objects, and the version and operator of the other change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s also changed: %s", e.version, e.operator, strings.Join(e.objects, ", "))
}

// Objects returns the IDs, "kind name", of the objects that both operators changed.
func (e *ConflictError) Objects() []string { return e.objects }

// snapshotInterval is the number of versions from one snapshot to the next.
const snapshotInterval = 50

// retainedChanges is how many change rows the table keeps; each publish deletes the oldest beyond them.
const retainedChanges = 5000

// Limits of one publish.
const (
	maxAttempts       = 20
	initialRetryDelay = 20 * time.Millisecond
	maxRetryDelay     = 2 * time.Second
	callTimeout       = 2 * time.Second
)

// Request describes one publish.
type Request struct {
	// ID is unique to the publish and the same when it is retried, so that a retry
	// finds a publish that has already taken effect.
	ID string
	// Operator is the name of the operator who publishes.
	Operator string
	// Base is the version that the operator edited; 0 for the first publish.
	Base int64
	// Target is the complete configuration that the operator wants in force.
	Target *configreader.Configuration
}

// Result is the outcome of a publish.
type Result struct {
	// Version is the version that includes the operator's edits.
	Version int64
	// Edits lists what the publish changed; empty when the target equals the base.
	Edits []configreader.Edit
	// Rebased is set when the edits were applied to a later version than the base.
	Rebased bool
}

// Publish puts the target in force. It retries until the deadline, with at most
// maxAttempts attempts. Edits that other operators published since the base are kept when
// they change other objects or make the same change; otherwise the error is a
// *ConflictError.
func Publish(platform *platformclient.Platform, request Request, deadline time.Time) (Result, error) {
	base, err := Load(platform, request.Base, deadline)
	if err != nil {
		return Result{}, fmt.Errorf("load base configuration version %d: %w", request.Base, err)
	}
	edits := configreader.Diff(base.Configuration(), request.Target)
	delay := initialRetryDelay
	var lastErr error
	for range maxAttempts {
		result, final, err := tryPublish(platform, request, edits, deadline)
		if final {
			return result, err
		}
		lastErr = err
		if time.Now().Add(delay).After(deadline) {
			break
		}
		time.Sleep(delay)
		delay = min(delay*2, maxRetryDelay)
	}
	return Result{}, fmt.Errorf("publish %q could not be confirmed to be in force: %w", request.ID, lastErr)
}

// tryPublish makes one attempt. It returns false when the attempt failed and may be
// retried, and true when the result or the error is final.
func tryPublish(platform *platformclient.Platform, request Request, edits []configreader.Edit, deadline time.Time) (Result, bool, error) {
	head, rowVersion, err := configfollower.ReadHead(callDeadline(deadline), platform)
	if err != nil {
		return Result{}, false, err
	}
	laterChanges, err := changesBetween(platform, request.Base, head.Version, deadline)
	if err != nil {
		return Result{}, false, err
	}
	if own, found := lo.Find(laterChanges, func(c configfollower.Change) bool { return c.Publish == request.ID }); found {
		return Result{Version: own.Version, Edits: own.Edits, Rebased: own.Version > request.Base+1}, true, nil
	}
	if len(edits) == 0 {
		return Result{Version: head.Version}, true, nil
	}
	if err := checkConflicts(edits, laterChanges); err != nil {
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
	change := configfollower.Change{Version: head.Version + 1, Publish: request.ID, Operator: request.Operator, Edits: edits}
	if err := writeVersion(platform, head, rowVersion, change, rebased, deadline); err != nil {
		return Result{}, false, err
	}
	return Result{Version: change.Version, Edits: edits, Rebased: head.Version > request.Base}, true, nil
}

// callDeadline returns the deadline of one call to the platform, at most callTimeout from now.
func callDeadline(deadline time.Time) time.Time {
	if limit := time.Now().Add(callTimeout); limit.Before(deadline) {
		return limit
	}
	return deadline
}

// HeadChangedError reports that another publish replaced the head after this
// attempt had read it, so that this attempt did not take effect.
type HeadChangedError struct {
	// version is the configuration version of the head that was read.
	version int64
}

// Error names the version that was replaced.
func (e *HeadChangedError) Error() string {
	return fmt.Sprintf("another publish replaced configuration version %d before this one", e.version)
}

// writeVersion writes the change row and the new head in one transaction, provided
// that the head row still has rowVersion. Before that it stores a snapshot of the
// configuration when one is due.
func writeVersion(platform *platformclient.Platform, head configfollower.Head, rowVersion int64, change configfollower.Change, configuration *configreader.Configuration, deadline time.Time) error {
	newHead := configfollower.Head{Version: change.Version, Publish: change.Publish, Snapshot: head.Snapshot, Object: head.Object}
	if change.Version == 1 || change.Version%snapshotInterval == 0 {
		newHead.Snapshot, newHead.Object = change.Version, configfollower.SnapshotName(change.Version, change.Publish)
		if err := platform.PutObject(callDeadline(deadline), newHead.Object, configuration.Text()); err != nil {
			return err
		}
	}
	changeText, err := json.Marshal(change)
	if err != nil {
		return fmt.Errorf("encode change of configuration version %d: %w", change.Version, err)
	}
	headText, err := json.Marshal(newHead)
	if err != nil {
		return fmt.Errorf("encode head of configuration version %d: %w", change.Version, err)
	}
	result, err := platform.Write(callDeadline(deadline), platformclient.Transaction{
		Checks: []platformclient.Check{{Key: configfollower.HeadKey, Version: rowVersion}},
		Puts: []platformclient.Row{
			{Key: configfollower.ChangeKey(change.Version), Value: string(changeText)},
			{Key: configfollower.HeadKey, Value: string(headText)},
		},
		Deletes: []string{configfollower.ChangeKey(change.Version - retainedChanges)},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		return &HeadChangedError{version: head.Version}
	}
	return nil
}

// checkConflicts returns a *ConflictError when later changes gave an object that the
// edits change a different body.
func checkConflicts(edits []configreader.Edit, laterChanges []configfollower.Change) error {
	ownEdits := lo.SliceToMap(edits, func(edit configreader.Edit) (string, configreader.Edit) { return edit.ID(), edit })
	var conflict *ConflictError
	for _, change := range laterChanges {
		for _, edit := range change.Edits {
			if own, edited := ownEdits[edit.ID()]; !edited || own.Body == edit.Body {
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

// changesBetween returns the changes that lead to the versions from after+1 to last, or
// those of them that the table still has.
func changesBetween(platform *platformclient.Platform, after, last int64, deadline time.Time) ([]configfollower.Change, error) {
	var keys []string
	for version := after + 1; version <= last; version++ {
		keys = append(keys, configfollower.ChangeKey(version))
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := platform.ReadRows(callDeadline(deadline), keys, "")
	if err != nil {
		return nil, err
	}
	changes := make([]configfollower.Change, 0, len(rows))
	for _, row := range rows {
		var change configfollower.Change
		if err := json.Unmarshal([]byte(row.Value), &change); err != nil {
			return nil, fmt.Errorf("decode change row %q: %w", row.Key, err)
		}
		changes = append(changes, change)
	}
	return changes, nil
}

// Load returns the configuration at a version. It starts from the snapshot that the
// head names, or from the first change when that snapshot is of a later version.
func Load(platform *platformclient.Platform, version int64, deadline time.Time) (*configfollower.VersionedConfiguration, error) {
	reader := configfollower.New(platform, nil)
	if version == 0 {
		return reader.Current(), nil
	}
	head, _, err := configfollower.ReadHead(callDeadline(deadline), platform)
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
		return nil, fmt.Errorf("configuration version %d cannot be built from the rows and objects in the store", version)
	}
	return reader.Current(), nil
}
