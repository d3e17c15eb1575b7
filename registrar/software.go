package registrar

import (
	"maps"
	"time"

	"github.com/samber/lo"
)

const (
	// softwareMemory is how long a software version counts after its last worker has left the list.
	softwareMemory = time.Minute
	// maxSoftware bounds the software versions that one node tells another.
	maxSoftware = 256
)

// Software holds the software versions of each service's workers and when a worker of each was last
// listed, at most softwareMemory ago.
type Software map[string]map[string]time.Time

// Software returns the software versions of the workers of a service, in no particular order, those
// that were listed in the last minute included.
func (f *Fleet) Software(now time.Time, service string) []string {
	return lo.Keys(lo.PickBy(f.software[service], func(_ string, until time.Time) bool { return until.IsZero() || now.Before(until) }))
}

// KnowsSoftware reports whether Software holds every version that any node has listed in the last
// minute. A process that has just started does not know those that left the list before, until
// Recall.
func (f *Fleet) KnowsSoftware(now time.Time) bool {
	return !f.softwareSince.IsZero() && now.Sub(f.softwareSince) >= softwareMemory
}

// LastListed returns the software versions of all services for Recall at other nodes, or nil if
// KnowsSoftware is false or there are too many.
func (f *Fleet) LastListed(now time.Time) Software {
	if !f.KnowsSoftware(now) {
		return nil
	}
	software, count := Software{}, 0
	for service := range f.software {
		software[service] = map[string]time.Time{}
		for _, version := range f.Software(now, service) {
			listedAt := now
			if until := f.software[service][version]; !until.IsZero() {
				listedAt = until.Add(-softwareMemory)
			}
			software[service][version] = listedAt
			count++
		}
	}
	if count > maxSoftware {
		return nil
	}
	return software
}

// Recall adds what LastListed returned at another node, which may have ended since. From then on
// this node knows the versions of the last minute.
func (r *Registrar) Recall(now time.Time, software Software) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fleet := *r.fleet.Load()
	fleet.software = lo.MapValues(fleet.software, func(versions map[string]time.Time, _ string) map[string]time.Time { return maps.Clone(versions) })
	for service, versions := range software {
		for version, listedAt := range versions {
			if until := listedAt.Add(softwareMemory); now.Before(until) {
				fleet.extendSoftware(service, version, until)
			}
		}
	}
	if complete := now.Add(-softwareMemory); r.softwareSince.IsZero() || complete.Before(r.softwareSince) {
		r.softwareSince = complete
	}
	fleet.softwareSince = r.softwareSince
	r.fleet.Store(&fleet)
}

// addSoftware records a software version of a service.
func (f *Fleet) addSoftware(service, software string, until time.Time) {
	if f.software[service] == nil {
		f.software[service] = map[string]time.Time{}
	}
	f.software[service][software] = until
}

// extendSoftware makes a software version that is not listed count until a time at least.
func (f *Fleet) extendSoftware(service, software string, until time.Time) {
	if known, found := f.software[service][software]; found && (known.IsZero() || known.After(until)) {
		return
	}
	f.addSoftware(service, software, until)
}

// keepSoftware records the software versions of an earlier list that still count.
func (f *Fleet) keepSoftware(now time.Time, previous *Fleet) {
	for service, versions := range previous.software {
		for software, until := range versions {
			if _, listed := f.software[service][software]; listed || !until.IsZero() && now.After(until) {
				continue
			}
			if until.IsZero() {
				until = now.Add(softwareMemory)
			}
			f.addSoftware(service, software, until)
		}
	}
}
