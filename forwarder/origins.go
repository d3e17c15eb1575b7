package forwarder

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/cataloger"
	"github.com/acaciaproxy/acaciaproxy/fleettracker"
	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

const (
	// findStreamTimeout bounds one question to the leaders where a stream began. While not all of them answer, they are asked again after findStreamPause,
	// for maxFindStream at most: a zone whose leader has ended has another one by then, to which the nodes send what they know.
	findStreamTimeout = 250 * time.Millisecond
	findStreamPause   = 100 * time.Millisecond
	maxFindStream     = 2500 * time.Millisecond
	// originRefresh is the interval at which the origin of a stream that goes on is recorded again.
	originRefresh = 10 * time.Second
	// originRetry is when a caller may take its stream up again if it is not known where it began; another node may know.
	originRetry = 300 * time.Millisecond
	// avoidOrigin is how long a call avoids the worker at which its stream broke off although it still answers; others of its version may be far from having
	// the model loaded.
	avoidOrigin = 150 * time.Millisecond
)

// origin is where the stream of a call began. What workers of two software versions write does not fit together.
type origin struct {
	// version is the service and the version; its software is empty if that is not known.
	version streamkeeper.Origin
	// worker and incarnation identify the worker of the first event, if this node relayed it.
	worker      string
	incarnation int64
	// recordedAt is when the origin was last recorded for other nodes.
	recordedAt time.Time
}

// matches reports whether a call may be sent to a worker: its stream has not begun, or it began at the same software version. A worker that has crashed may
// be back under its ID as another version before the list shows that.
func (f *Forwarder) matches(c *call, worker *registrar.Worker) bool {
	if c.origin == nil {
		return true
	}
	if f.dependencies.Crashes.CrashedSince(time.Now().Add(-crashShownWithin), worker.ID, worker.Incarnation) {
		return false
	}
	if c.origin.version.Software != "" && c.origin.version.Software == worker.Software {
		return true
	}
	return c.origin.worker == worker.ID && c.origin.incarnation == worker.Incarnation
}

// matching returns the holders that the call may be sent to.
func (f *Forwarder) matching(c *call, holders []fleettracker.Holder) []fleettracker.Holder {
	if c.origin == nil {
		return holders
	}
	return lo.Filter(holders, func(holder fleettracker.Holder, _ int) bool { return f.matches(c, holder.Worker) })
}

// streamAttempt returns the ID of the caller's attempt that brought the first event of the call's stream.
func (c *call) streamAttempt() string {
	if c.Resumes != "" {
		return c.Resumes
	}
	return c.ID
}

// recordOrigin records where the stream of a call began, when its first event has arrived and from time to time while it goes on.
func (f *Forwarder) recordOrigin(now time.Time, c *call, worker *registrar.Worker) {
	if c.origin == nil {
		c.origin = &origin{version: streamkeeper.Origin{Service: c.service.Name, Software: worker.Software}, worker: worker.ID, incarnation: worker.Incarnation}
	}
	if c.origin.version.Software == "" || now.Sub(c.origin.recordedAt) < originRefresh {
		return
	}
	c.origin.recordedAt = now
	f.dependencies.Recorder.Count("origins of streams recorded")
	f.dependencies.Streams.Record(now, c.streamAttempt(), c.origin.version)
}

// findOrigin finds where the stream began that a call takes up. It returns the error with which the call ends if that is not known.
func (f *Forwarder) findOrigin(ctx context.Context, c *call) error {
	if c.LastEventID == "" && c.Resumes == "" {
		return nil
	}
	began := time.Now()
	latest := began.Add(maxFindStream)
	if start := c.startDeadline().Add(-responseReserve); start.Before(latest) {
		latest = start
	}
	found := f.lookUpOrigin(c, began)
	for !found.known && !found.final && time.Now().Before(latest) && ctx.Err() == nil {
		time.Sleep(findStreamPause)
		found = f.lookUpOrigin(c, began)
	}
	now := time.Now()
	logger.Info("origin of stream looked up").Str("request", c.ID).Str("resumes", c.Resumes).Str("after_event", c.LastEventID).Bool("known", found.known).Str("source", found.source).Int64("took_ms", now.Sub(began).Milliseconds()).
		Str("software", found.version.Software).Strs("versions", found.versions).Bool("versions_known", found.versionsKnown).Bool("leaders_answered", found.leadersAnswered).Msg("origin of stream looked up")
	if !found.known {
		f.dependencies.Recorder.Count("streams of unknown origin")
		return c.refuse("origin_unknown", "it is not known at which software version the stream began", originRetry)
	}
	version := found.version
	c.origin = &origin{version: version}
	if service, exists := c.catalog.Service(version.Service); exists && version.Service != c.service.Name && lo.SomeBy(c.route.Shares, func(share cataloger.Share) bool { return share.Service == version.Service }) {
		c.service = service
	}
	return nil
}

// foundOrigin is the result of one look for where a stream began.
type foundOrigin struct {
	// version is where it began and source says who knows, if known is set. Final is set if looking again is of no use.
	version      streamkeeper.Origin
	source       string
	known, final bool
	// versions are the software versions of the service's workers in the last minute, as far as this node and the leaders that have answered know them.
	// versionsKnown is set if these are all, leadersAnswered if all leaders have answered.
	versions                       []string
	versionsKnown, leadersAnswered bool
}

// lookUpOrigin looks once for where the stream began that a call takes up, which arrived at a given
// time: at this node, at the leaders, and in the store. If nobody knows, the stream began at the only
// software version of the last minute, if it is certain that there was no other.
func (f *Forwarder) lookUpOrigin(c *call, arrivedAt time.Time) foundOrigin {
	now := time.Now()
	attempt := streamkeeper.Hash(c.Resumes)
	if version, known := f.dependencies.Streams.Find(now, attempt); known {
		return foundOrigin{version: version, source: "node", known: true}
	}
	inquiry := f.dependencies.FindStream(now.Add(findStreamTimeout), c.service.Name, attempt)
	result := foundOrigin{version: inquiry.Origin, source: "leaders", known: inquiry.Known, leadersAnswered: inquiry.Complete}
	if inquiry.Known {
		return result
	}
	fleet := f.dependencies.Workers.Fleet()
	result.versionsKnown = inquiry.VersionsKnown || fleet.KnowsSoftware(now)
	result.versions = lo.Union(fleet.Software(now, c.service.Name), inquiry.Versions)
	confirmed := len(result.versions) > 1
	if !confirmed {
		confirmed = f.dependencies.ConfirmList(time.Now().Add(findStreamTimeout), arrivedAt)
		result.versions = lo.Union(f.dependencies.Workers.Fleet().Software(now, c.service.Name), inquiry.Versions)
	}
	if len(result.versions) == 1 && result.versions[0] != "" && result.versionsKnown && (confirmed || inquiry.Complete) {
		result.version, result.source, result.known = streamkeeper.Origin{Service: c.service.Name, Software: result.versions[0]}, "only version", true
		return result
	}
	var read bool
	result.version, result.known, read = f.dependencies.FindArchived(attempt)
	result.source, result.final = "store", inquiry.Complete && confirmed && read
	return result
}

// refuseVersion returns the error with which a call ends whose stream can go on nowhere: no worker of its version has the model or is loading it.
func (f *Forwarder) refuseVersion(c *call) error {
	f.dependencies.DemandCounter.CountRefusal(c.modelKey())
	return c.versionRefusal()
}

// versionRefusal returns that error.
func (c *call) versionRefusal() *FailureError {
	return c.refuse("version_not_loaded", "no worker of the software version that began the stream has the model", notLoadedRetry)
}
