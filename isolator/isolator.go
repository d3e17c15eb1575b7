// Package isolator keeps requests that crash workers from being sent to more
// workers. It reports crashes to the zone's leader, whose verdicts hold for all
// nodes of the zone, and decides locally while the leader cannot be reached.
package isolator

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/quarantiner"
)

// reportTimeout bounds a report to the leader.
const reportTimeout = 800 * time.Millisecond

// Isolator decides which requests of one node may run where. It is safe for
// concurrent use.
type Isolator struct {
	// node is this node's ID.
	node string
	// leader returns the client of the zone's leader, or an error when the zone has none.
	leader func() (nodewire.NodeClient, error)
	// workers returns the IDs of the workers that may get requests.
	workers func() []string
	// mu guards quarantiner.
	mu sync.Mutex
	// quarantiner holds what this node knows itself and the quarantines decided by the
	// leader; at the leader it decides for the zone.
	quarantiner *quarantiner.Quarantiner
}

// New returns an isolator without suspects and quarantines. The fields of Isolator
// of the same names describe its parameters.
func New(node string, leader func() (nodewire.NodeClient, error), workers func() []string) *Isolator {
	return &Isolator{node: node, leader: leader, workers: workers, quarantiner: quarantiner.New()}
}

// Fingerprint returns the identifier of a request's content: a hash over unit and
// content in hexadecimal, and the content's length in bytes.
func Fingerprint(unit string, content []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(unit)
	_, _ = digest.Write(content)
	return strconv.FormatUint(digest.Sum64(), 16) + "-" + strconv.Itoa(len(content))
}

// Check returns this node's verdict on a request that is about to be sent, without
// asking the leader.
func (i *Isolator) Check(fingerprint string) quarantiner.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.quarantiner.Check(time.Now(), fingerprint, i.workers())
}

// ReportCrash reports to the leader that a worker crashed with a request in flight
// and returns the verdict on the request.
func (i *Isolator) ReportCrash(worker string, incarnation int64, fingerprint string) quarantiner.Verdict {
	i.mu.Lock()
	verdict := i.quarantiner.RecordCrash(time.Now(), worker, []string{fingerprint}, i.workers())[0]
	i.mu.Unlock()
	verdict = i.leaderVerdict(&nodewire.SuspectRequest{Worker: worker, Incarnation: incarnation, Fingerprints: []string{fingerprint}, Node: i.node}, verdict)
	log.Warn().Str("worker", worker).Str("fingerprint", fingerprint).Str("assigned", verdict.Worker).
		Time("quarantined", verdict.QuarantinedUntil).Msg("endpoint crashed with a request in flight")
	return verdict
}

// Recheck asks the leader again for the verdict on a suspect that waits for a worker.
func (i *Isolator) Recheck(fingerprint string) quarantiner.Verdict {
	return i.leaderVerdict(&nodewire.SuspectRequest{Fingerprints: []string{fingerprint}, Node: i.node}, i.Check(fingerprint))
}

// leaderVerdict sends a request about one fingerprint and returns the leader's
// verdict, or the local one when no leader answers.
func (i *Isolator) leaderVerdict(request *nodewire.SuspectRequest, local quarantiner.Verdict) quarantiner.Verdict {
	reply, err := i.sendReport(request)
	if err != nil || !reply.GetLeading() || len(reply.GetVerdicts()) == 0 {
		return local
	}
	received := reply.GetVerdicts()[0]
	verdict := quarantiner.Verdict{Fingerprint: local.Fingerprint, Suspected: received.GetSuspected(), Worker: received.GetWorker()}
	if received.GetQuarantineMs() > 0 {
		verdict.QuarantinedUntil = time.Now().Add(time.Duration(received.GetQuarantineMs()) * time.Millisecond)
		i.AddQuarantine(local.Fingerprint, verdict.QuarantinedUntil)
	}
	return verdict
}

// sendReport sends a report to the leader. It returns an error when the zone has no
// leader or the leader does not answer within reportTimeout.
func (i *Isolator) sendReport(request *nodewire.SuspectRequest) (*nodewire.SuspectReply, error) {
	client, err := i.leader()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return client.Suspect(ctx, request)
}

// Clear ends the suspicion of a request that completed, here and at the leader. A
// report that fails is not repeated; the suspicion then expires at the leader.
func (i *Isolator) Clear(fingerprint string) {
	i.mu.Lock()
	i.quarantiner.Clear(fingerprint)
	i.mu.Unlock()
	_, _ = i.sendReport(&nodewire.SuspectRequest{Cleared: []string{fingerprint}, Node: i.node})
}

// AddQuarantine adds a quarantine that the leader decided.
func (i *Isolator) AddQuarantine(fingerprint string, until time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.quarantiner.AddQuarantine(fingerprint, until)
}

// HandleReport applies a node's report at the leader and returns the verdict on each
// fingerprint of the report.
func (i *Isolator) HandleReport(request *nodewire.SuspectRequest) []*nodewire.SuspectVerdict {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, fingerprint := range request.GetCleared() {
		i.quarantiner.Clear(fingerprint)
	}
	var verdicts []*nodewire.SuspectVerdict
	for _, verdict := range i.verdicts(now, request) {
		wire := &nodewire.SuspectVerdict{Fingerprint: verdict.Fingerprint, Worker: verdict.Worker, Suspected: verdict.Suspected}
		if !verdict.QuarantinedUntil.IsZero() {
			wire.QuarantineMs = verdict.QuarantinedUntil.Sub(now).Milliseconds()
		}
		verdicts = append(verdicts, wire)
	}
	return verdicts
}

// verdicts records the crash that the report is about, if any, and returns the
// verdicts on the report's fingerprints; the caller holds mu.
func (i *Isolator) verdicts(now time.Time, request *nodewire.SuspectRequest) []quarantiner.Verdict {
	if request.GetWorker() != "" {
		return i.quarantiner.RecordCrash(now, request.GetWorker(), request.GetFingerprints(), i.workers())
	}
	var verdicts []quarantiner.Verdict
	for _, fingerprint := range request.GetFingerprints() {
		verdicts = append(verdicts, i.quarantiner.Check(now, fingerprint, i.workers()))
	}
	return verdicts
}

// Quarantines returns the quarantined fingerprints with their remaining time, for
// the other nodes of the zone.
func (i *Isolator) Quarantines(now time.Time) []*nodewire.Quarantine {
	i.mu.Lock()
	defer i.mu.Unlock()
	var quarantines []*nodewire.Quarantine
	for fingerprint, until := range i.quarantiner.Quarantined(now) {
		quarantines = append(quarantines, &nodewire.Quarantine{Fingerprint: fingerprint, RemainingMs: until.Sub(now).Milliseconds()})
	}
	return quarantines
}
