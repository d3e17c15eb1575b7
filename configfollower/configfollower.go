// Package configfollower holds the configuration that is in force at a node. It applies
// changes from the platform or from other nodes, whichever arrive first; the
// version in force never decreases.
package configfollower

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciaproxy/acaciaproxy/asserter"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Keys of table rows and name prefix of objects at the platform.
const (
	// HeadKey is the key of the row that holds the Head.
	HeadKey = "config/head"
	// changePrefix precedes the version in the key of a change row.
	changePrefix = "config/change/"
	// snapshotPrefix precedes the version in the name of a snapshot object.
	snapshotPrefix = "config/snapshot/"
)

// ChangeKey returns the key of the row that holds a change. The version is padded
// with zeros so that rows sort by version.
func ChangeKey(version int64) string { return fmt.Sprintf("%s%012d", changePrefix, version) }

// SnapshotName returns the name of the object that holds a complete configuration. It
// includes the publish ID: a snapshot is stored before its version is written, so several
// publishes that try to create the same version may each store one.
func SnapshotName(version int64, publish string) string {
	return fmt.Sprintf("%s%012d-%s", snapshotPrefix, version, publish)
}

// Head is the value of the head row, which names the latest published version.
type Head struct {
	// Version is the latest published version; each publish increases it by one.
	Version int64 `json:"version"`
	// Publish is the ID of the publish that created the version.
	Publish string `json:"publish"`
	// Snapshot is the newest version with a snapshot object.
	Snapshot int64 `json:"snapshot"`
	// Object is the name of that snapshot object.
	Object string `json:"object"`
}

// Change is the value of a change row: the edits that turn the previous version into
// this one.
type Change struct {
	Version int64 `json:"version"`
	// Publish is the ID of the publish that created the version.
	Publish string `json:"publish"`
	// Operator is the name of the operator who published.
	Operator string              `json:"operator"`
	Edits    []configreader.Edit `json:"edits"`
}

// VersionedConfiguration is an immutable pair of a configuration and its version.
type VersionedConfiguration struct {
	version       int64
	configuration *configreader.Configuration
}

// Version returns the configuration's version; 0 means that none is published.
func (v *VersionedConfiguration) Version() int64 { return v.version }

// Configuration returns the configuration, or nil at version 0.
func (v *VersionedConfiguration) Configuration() *configreader.Configuration { return v.configuration }

// maxChanges is how many of the latest changes a node keeps in memory for other
// nodes, and the most that it fetches instead of a snapshot.
const maxChanges = 256

// Follower holds the configuration in force and updates it. It is safe for concurrent use.
type Follower struct {
	platform *platformclient.Platform
	// current is the configuration in force, never nil.
	current atomic.Pointer[VersionedConfiguration]
	// mu guards changes and serialises updates of current.
	mu sync.Mutex
	// changes holds the latest changes applied, in version order and without gaps.
	changes []Change
	// highestSeen is the highest version reported to ObserveVersion, at least the version in force.
	highestSeen atomic.Int64
	// onChange is called with mu held after each update; it may be nil.
	onChange func(*VersionedConfiguration)
}

// New returns a follower at version 0. onChange is called after each update, one
// call at a time; it may be nil.
func New(platform *platformclient.Platform, onChange func(*VersionedConfiguration)) *Follower {
	f := &Follower{platform: platform, onChange: onChange}
	f.current.Store(&VersionedConfiguration{})
	return f
}

// Platform returns the platform from which the follower reads.
func (f *Follower) Platform() *platformclient.Platform { return f.platform }

// Current returns the configuration in force at this node, never nil.
func (f *Follower) Current() *VersionedConfiguration { return f.current.Load() }

// ObserveVersion records a published version that another node or the platform reported.
func (f *Follower) ObserveVersion(version int64) {
	for {
		highest := f.highestSeen.Load()
		if version <= highest || f.highestSeen.CompareAndSwap(highest, version) {
			return
		}
	}
}

// Fetch updates the node to the version of the head, which was read from the
// platform. It fetches a snapshot when the node has no configuration or is more
// than maxChanges versions behind, and the changes after it.
func (f *Follower) Fetch(deadline time.Time, head Head) error {
	f.ObserveVersion(head.Version)
	current := f.Current().version
	if head.Version <= current {
		return nil
	}
	if head.Snapshot > current && (current == 0 || head.Version-current > maxChanges) {
		text, err := f.platform.GetObject(deadline, head.Object)
		if err != nil {
			return fmt.Errorf("fetch snapshot of configuration version %d: %w", head.Snapshot, err)
		}
		if err := f.ApplySnapshot(head.Snapshot, text); err != nil {
			return err
		}
	}
	return f.fetchChanges(deadline, head.Version)
}

// fetchChanges applies the changes after the version in force, up to last.
func (f *Follower) fetchChanges(deadline time.Time, last int64) error {
	var keys []string
	for version := f.Current().version + 1; version <= last; version++ {
		keys = append(keys, ChangeKey(version))
	}
	if len(keys) == 0 {
		return nil
	}
	rows, err := f.platform.ReadRows(deadline, keys, "")
	if err != nil {
		return fmt.Errorf("fetch %d configuration changes: %w", len(keys), err)
	}
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal([]byte(row.Value), &change); err != nil {
			return fmt.Errorf("decode change row %q: %w", row.Key, err)
		}
		if err := f.ApplyChange(change); err != nil {
			return err
		}
	}
	return nil
}

// ApplySnapshot parses a complete configuration and puts it in force if its version is
// higher than the version in force.
func (f *Follower) ApplySnapshot(version int64, text []byte) error {
	configuration, err := configreader.Parse(fmt.Sprintf("version %d", version), text)
	if err != nil {
		return fmt.Errorf("snapshot of configuration version %d: %w", version, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.Current().version {
		return nil
	}
	f.changes = nil
	f.setCurrent(&VersionedConfiguration{version: version, configuration: configuration})
	return nil
}

// ApplyChange applies the change that follows the version in force. It ignores any
// other change, without an error.
func (f *Follower) ApplyChange(change Change) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	if change.Version != current.version+1 {
		return nil
	}
	configuration, err := current.configuration.Apply(change.Edits)
	if err != nil {
		return fmt.Errorf("apply change of configuration version %d: %w", change.Version, err)
	}
	f.changes = append(f.changes, change)
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changes = append([]Change(nil), f.changes[excess:]...)
	}
	f.setCurrent(&VersionedConfiguration{version: change.Version, configuration: configuration})
	return nil
}

// setCurrent puts a version in force unless that would decrease the version; the
// caller holds mu.
func (f *Follower) setCurrent(versioned *VersionedConfiguration) {
	previous := f.Current().version
	if asserter.Check(versioned.version > previous, "version", "configuration version would go from %d to %d", previous, versioned.version) != nil {
		return
	}
	f.current.Store(versioned)
	f.ObserveVersion(versioned.version)
	if f.onChange != nil {
		f.onChange(versioned)
	}
}

// ChangesSince returns the changes after a version, or the complete configuration in
// force when some of them are no longer in memory. Both are nil when the version in force
// is not later.
func (f *Follower) ChangesSince(after int64) (changes []Change, snapshot *VersionedConfiguration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	if after >= current.version {
		return nil, nil
	}
	if len(f.changes) == 0 || f.changes[0].Version > after+1 {
		return nil, current
	}
	for _, change := range f.changes {
		if change.Version > after {
			changes = append(changes, change)
		}
	}
	return changes, nil
}

// ReadHead reads the head row and returns its value and its table version. Both
// versions are 0 when the row does not exist.
func ReadHead(deadline time.Time, platform *platformclient.Platform) (Head, int64, error) {
	rows, err := platform.ReadRows(deadline, []string{HeadKey}, "")
	if err != nil || len(rows) == 0 {
		return Head{}, 0, err
	}
	head, err := DecodeHead(rows[0].Value)
	return head, rows[0].Version, err
}

// DecodeHead parses the value of the head row.
func DecodeHead(text string) (Head, error) {
	var head Head
	if err := json.Unmarshal([]byte(text), &head); err != nil {
		return Head{}, fmt.Errorf("decode head row: %w", err)
	}
	return head, nil
}

// IsMissing reports whether err wraps a *platformclient.MissingError.
func IsMissing(err error) bool {
	var missing *platformclient.MissingError
	return errors.As(err, &missing)
}
