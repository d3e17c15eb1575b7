// Package follower keeps the configuration that is in force at a node. It
// takes changes from the platform or from other nodes, whichever is first,
// and only ever goes up in version.
package follower

import (
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/acaciaproxy/acaciaproxy/asserter"
	"github.com/acaciaproxy/acaciaproxy/configurer"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
)

// Names in the platform's store.
const (
	// HeadKey is the row that names the version in force.
	HeadKey = "config/head"
	// changePrefix comes before the version in the key of a change row.
	changePrefix = "config/change/"
	// snapshotPrefix comes before the version in the name of a snapshot object.
	snapshotPrefix = "config/snapshot/"
)

// ChangeKey returns the key of the row that holds a change. Versions have
// leading zeros so that rows sort by version.
func ChangeKey(version int64) string { return fmt.Sprintf("%s%012d", changePrefix, version) }

// SnapshotName returns the name of the object that holds a whole
// configuration. It carries the publish id, because a publish that loses the
// race for a version has written its snapshot too.
func SnapshotName(version int64, publish string) string {
	return fmt.Sprintf("%s%012d-%s", snapshotPrefix, version, publish)
}

// Head is the value of the head row.
type Head struct {
	// Version is the version in force; it rises by one with each publish.
	Version int64 `json:"version"`
	// Publish is the id of the publish that made the version.
	Publish string `json:"publish"`
	// Snapshot is the newest version with a snapshot object.
	Snapshot int64 `json:"snapshot"`
	// Object is the name of that object.
	Object string `json:"object"`
}

// Change is the value of a change row.
type Change struct {
	Version int64  `json:"version"`
	Publish string `json:"publish"`
	// Operator is who published.
	Operator string            `json:"operator"`
	Edits    []configurer.Edit `json:"edits"`
}

// Pinned is a configuration with its version. It never changes.
type Pinned struct {
	version       int64
	configuration *configurer.Configuration
}

// Version returns the configuration's version; 0 means that none is published.
func (p *Pinned) Version() int64 { return p.version }

// Configuration returns the objects, or nil at version 0.
func (p *Pinned) Configuration() *configurer.Configuration { return p.configuration }

// maxChanges is how many past changes a node keeps for its peers.
const maxChanges = 256

// Follower is safe for use by several goroutines.
type Follower struct {
	platform *platformclient.Platform
	current  atomic.Pointer[Pinned]
	// mu guards changes and serialises updates.
	mu sync.Mutex
	// changes are the last changes taken, in version order.
	changes []Change
	// known is the highest version heard of, at least the version in force.
	known atomic.Int64
	// onChange is called after each update.
	onChange func(*Pinned)
}

// New returns a follower at version 0. onChange may be nil.
func New(platform *platformclient.Platform, onChange func(*Pinned)) *Follower {
	f := &Follower{platform: platform, onChange: onChange}
	f.current.Store(&Pinned{})
	return f
}

// Platform returns the platform from which the follower reads.
func (f *Follower) Platform() *platformclient.Platform { return f.platform }

// Current returns the configuration in force at this node.
func (f *Follower) Current() *Pinned { return f.current.Load() }

// Hear records that a version exists somewhere.
func (f *Follower) Hear(version int64) {
	for {
		known := f.known.Load()
		if version <= known || f.known.CompareAndSwap(known, version) {
			return
		}
	}
}

// Fetch brings the node up to the head as read from the platform.
func (f *Follower) Fetch(deadline time.Time, head Head) error {
	f.Hear(head.Version)
	current := f.Current().version
	if head.Version <= current {
		return nil
	}
	if head.Snapshot > current && (current == 0 || head.Version-current > maxChanges) {
		text, err := f.platform.GetObject(deadline, head.Object)
		if err != nil {
			return fmt.Errorf("fetch snapshot %d: %w", head.Snapshot, err)
		}
		if err := f.TakeSnapshot(head.Snapshot, text); err != nil {
			return err
		}
	}
	return f.fetchChanges(deadline, head.Version)
}

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
		return fmt.Errorf("fetch %d changes: %w", len(keys), err)
	}
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal([]byte(row.Value), &change); err != nil {
			return fmt.Errorf("change row %q: %w", row.Key, err)
		}
		if err := f.TakeChange(change); err != nil {
			return err
		}
	}
	return nil
}

// TakeSnapshot takes a whole configuration if it is newer than the one in force.
func (f *Follower) TakeSnapshot(version int64, text []byte) error {
	configuration, err := configurer.Parse(fmt.Sprintf("version %d", version), text)
	if err != nil {
		return fmt.Errorf("snapshot %d: %w", version, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.Current().version {
		return nil
	}
	f.changes = nil
	f.install(&Pinned{version: version, configuration: configuration})
	return nil
}

// TakeChange takes the change that follows the version in force; others are ignored.
func (f *Follower) TakeChange(change Change) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.Current()
	if change.Version != current.version+1 {
		return nil
	}
	configuration, err := current.configuration.Apply(change.Edits)
	if err != nil {
		return fmt.Errorf("change %d: %w", change.Version, err)
	}
	f.changes = append(f.changes, change)
	if excess := len(f.changes) - maxChanges; excess > 0 {
		f.changes = append([]Change(nil), f.changes[excess:]...)
	}
	f.install(&Pinned{version: change.Version, configuration: configuration})
	return nil
}

// install puts a version in force; the caller holds mu.
func (f *Follower) install(pinned *Pinned) {
	previous := f.Current().version
	if asserter.Check(pinned.version > previous, "version", "configuration version would go from %d to %d", previous, pinned.version) != nil {
		return
	}
	f.current.Store(pinned)
	f.Hear(pinned.version)
	if f.onChange != nil {
		f.onChange(pinned)
	}
}

// Since returns the changes after a version, or the whole configuration when
// they are not at hand.
func (f *Follower) Since(after int64) (changes []Change, snapshot *Pinned) {
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

// ReadHead returns the head row and its table version; a head that does not exist has version 0.
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
		return Head{}, fmt.Errorf("head row: %w", err)
	}
	return head, nil
}

// IsMissing reports whether err says that an object does not exist.
func IsMissing(err error) bool {
	var missing *platformclient.MissingError
	return errors.As(err, &missing)
}
