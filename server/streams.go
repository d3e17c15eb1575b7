package server

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/peerclient"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

// originZones is the number of zones whose leaders know the origins of a node's streams: its own and those that follow it by name.
const originZones = 3

// zonesWithLeaders returns the local zone and those whose leases name a leader, sorted. Zones that only entries of workers name may have no nodes.
func (f *FleetNode) zonesWithLeaders() []string {
	zones := lo.Filter(f.leaseholder.Zones(), func(zone string, _ int) bool {
		_, _, known := f.leaseholder.Holder(zone)
		return known
	})
	zones = lo.Uniq(append(zones, f.settings.Zone()))
	slices.Sort(zones)
	return zones
}

// keepsOrigins reports whether the leader of a zone is sent the origins of this node's streams.
func (f *FleetNode) keepsOrigins(zone string) bool {
	zones := f.zonesWithLeaders()
	index := slices.Index(zones, zone)
	if index < 0 {
		return false
	}
	distance := (index - slices.Index(zones, f.settings.Zone()) + len(zones)) % len(zones)
	return distance < originZones
}

// streamsSince returns the origins of the streams that this node relayed with numbers from first on, and the number from which to continue.
func (f *FleetNode) streamsSince(zone string, first int64) (origins []*nodewire.StreamOrigins, next int64) {
	if !f.keepsOrigins(zone) {
		return nil, first
	}
	streams, next := f.streamKeeper.Since(time.Now(), first)
	if len(streams) > 0 {
		f.recorder.Add("origins of streams sent to leaders", int64(len(streams)))
	}
	return streamkeeper.Encode(streams), next
}

// hasSeveralVersions reports whether workers of several software versions serve a service, or did in the last minute.
func (f *FleetNode) hasSeveralVersions(service string) bool {
	return len(f.workerList.Fleet().Software(time.Now(), service)) > 1
}

// archives reports whether the origins of a service's streams are written to the store: also where the leaders of fewer than originZones zones can know them,
// so that they outlive those.
func (f *FleetNode) archives(service string) bool {
	return f.hasSeveralVersions(service) || len(f.zonesWithLeaders()) < originZones
}

// learnStreams records the origins of streams that a node of a zone relayed. Those of the local zone are archived.
func (f *FleetNode) learnStreams(zone string, origins []*nodewire.StreamOrigins) {
	now := time.Now()
	if len(origins) == 0 {
		return
	}
	streams := streamkeeper.Decode(origins)
	f.recorder.Add("origins of streams learned", int64(len(streams)))
	for _, stream := range streams {
		f.streamKeeper.Learn(now, stream)
	}
	if zone == f.settings.Zone() {
		f.archiver.Add(now, streams)
	}
}

// findStream asks the leaders of all zones at once where a stream of a service began, until one knows it or all have answered.
func (f *FleetNode) findStream(deadline time.Time, service string, attempt uint64) streamkeeper.Inquiry {
	zones := lo.Uniq(append(f.workerZones(), f.leaseholder.Zones()...))
	answers := make(chan *nodewire.FindStreamReply, len(zones))
	for _, zone := range zones {
		go func() { answers <- f.askStream(deadline, zone, service, attempt) }()
	}
	inquiry := streamkeeper.Inquiry{Complete: true}
	for range zones {
		answer := <-answers
		if answer == nil {
			inquiry.Complete = false
			continue
		}
		inquiry.Versions = lo.Union(inquiry.Versions, answer.GetVersions())
		inquiry.VersionsKnown = inquiry.VersionsKnown || answer.GetVersionsKnown()
		if answer.GetKnown() {
			inquiry.Origin, inquiry.Known = streamkeeper.Origin{Service: answer.GetService(), Software: answer.GetSoftware()}, true
			f.streamKeeper.Learn(time.Now(), streamkeeper.Stream{Attempt: attempt, Origin: inquiry.Origin})
			return inquiry
		}
	}
	return inquiry
}

// askStream asks the leader of a zone where a stream began. The answer is nil if there is none.
func (f *FleetNode) askStream(deadline time.Time, zone, service string, attempt uint64) *nodewire.FindStreamReply {
	holder, _, known := f.leaseholder.Holder(zone)
	if !known {
		return nil
	}
	if holder.Node == f.settings.Name() {
		if !f.isLeading() {
			return nil
		}
		return f.findOwnStream(service, attempt)
	}
	client, err := f.peers.FleetClient(holder.Address)
	if err != nil {
		return nil
	}
	ctx, cancel := peerclient.WithDeadline(deadline)
	defer cancel()
	reply, err := client.FindStream(ctx, &nodewire.FindStreamRequest{Attempt: attempt, Node: f.settings.Name(), Service: service})
	if err != nil {
		f.recorder.Count("questions for origins of streams failed")
		return nil
	}
	return reply
}

// findOwnStream returns what this node knows of a stream of a service, and of the software versions of the service.
func (f *FleetNode) findOwnStream(service string, attempt uint64) *nodewire.FindStreamReply {
	now := time.Now()
	origin, known := f.streamKeeper.Find(now, attempt)
	fleet := f.workerList.Fleet()
	return &nodewire.FindStreamReply{Known: known, Service: origin.Service, Software: origin.Software, Versions: fleet.Software(now, service), VersionsKnown: fleet.KnowsSoftware(now)}
}

// listedSoftware returns the software versions that were listed in the last minute, with their ages in milliseconds, or nil if they are not all known.
func (f *FleetNode) listedSoftware() map[string]map[string]int64 {
	now := time.Now()
	listed := f.workerList.Fleet().LastListed(now)
	if listed == nil {
		return nil
	}
	return lo.MapValues(listed, func(versions map[string]time.Time, _ string) map[string]int64 {
		return lo.MapValues(versions, func(listedAt time.Time, _ string) int64 { return now.Sub(listedAt).Milliseconds() })
	})
}

// recallSoftware adds the software versions in a lease row to those that this node has listed.
func (f *FleetNode) recallSoftware(ages map[string]map[string]int64) {
	now := time.Now()
	f.workerList.Recall(now, lo.MapValues(ages, func(versions map[string]int64, _ string) map[string]time.Time {
		return lo.MapValues(versions, func(ageMS int64, _ string) time.Time { return now.Add(-time.Duration(ageMS) * time.Millisecond) })
	}))
}
