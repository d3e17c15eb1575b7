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

// maxListAge is the age of the last read of the list of workers from which on it is old.
const maxListAge = 3 * time.Second

// keepsOrigins reports whether the leader of a zone is sent the origins of this node's streams.
func (f *FleetNode) keepsOrigins(zone string) bool {
	zones := lo.Uniq(append(f.workerZones(), f.leaseholder.Zones()...))
	slices.Sort(zones)
	distance := (slices.Index(zones, zone) - slices.Index(zones, f.settings.Zone()) + len(zones)) % len(zones)
	return distance < originZones
}

// streamsSince returns the origins of the streams that this node relayed with numbers from first on, and the number from which to continue.
func (f *FleetNode) streamsSince(zone string, first int64) (origins []*nodewire.StreamOrigins, next int64) {
	if !f.keepsOrigins(zone) {
		return nil, first
	}
	now := time.Now()
	several := func(service string) bool { return len(f.workerList.Fleet().Software(now, service)) > 1 }
	streams, next := f.streamKeeper.Since(now, first, several)
	return streamkeeper.Encode(streams), next
}

// learnStreams records the origins of streams that a node of a zone relayed. Those of the local zone are archived.
func (f *FleetNode) learnStreams(zone string, origins []*nodewire.StreamOrigins) {
	now := time.Now()
	streams := streamkeeper.Decode(origins)
	for _, stream := range streams {
		f.streamKeeper.Learn(now, stream)
	}
	if zone == f.settings.Zone() {
		f.archiver.Add(streams)
	}
}

// findStream asks the leaders of all zones at once where a stream began, and returns the first answer of one that knows it. Complete is set if none
// does and all have answered.
func (f *FleetNode) findStream(deadline time.Time, attempt uint64) (origin streamkeeper.Origin, known, complete bool) {
	zones := lo.Uniq(append(f.workerZones(), f.leaseholder.Zones()...))
	answers := make(chan *nodewire.FindStreamReply, len(zones))
	for _, zone := range zones {
		go func() { answers <- f.askStream(deadline, zone, attempt) }()
	}
	complete = true
	for range zones {
		answer := <-answers
		complete = complete && answer != nil
		if answer.GetKnown() {
			origin = streamkeeper.Origin{Service: answer.GetService(), Software: answer.GetSoftware()}
			f.streamKeeper.Learn(time.Now(), streamkeeper.Stream{Attempt: attempt, Origin: origin})
			return origin, true, false
		}
	}
	return streamkeeper.Origin{}, false, complete
}

// askStream asks the leader of a zone where a stream began. The answer is nil if there is none.
func (f *FleetNode) askStream(deadline time.Time, zone string, attempt uint64) *nodewire.FindStreamReply {
	holder, _, known := f.leaseholder.Holder(zone)
	if !known {
		return nil
	}
	if holder.Node == f.settings.Name() {
		return &nodewire.FindStreamReply{} // What this node knows has been looked up already.
	}
	client, err := f.peers.FleetClient(holder.Address)
	if err != nil {
		return nil
	}
	ctx, cancel := peerclient.WithDeadline(deadline)
	defer cancel()
	reply, err := client.FindStream(ctx, &nodewire.FindStreamRequest{Attempt: attempt, Node: f.settings.Name()})
	if err != nil {
		f.recorder.Count("questions for origins of streams failed")
		return nil
	}
	return reply
}

// isListFresh reports whether the store has responded to a read of the list of workers lately, by this node or its leader.
func (f *FleetNode) isListFresh(now time.Time) bool {
	return now.Sub(f.watcher.LastResponseAt()) < maxListAge
}
