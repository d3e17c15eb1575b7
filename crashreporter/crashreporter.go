// Package crashreporter keeps requests that crash workers from being sent to more
// workers. It reports crashes to the zone's leader, whose verdicts hold for all
// nodes of the zone, and decides locally while the leader cannot be reached.
package crashreporter

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/nodewire"
	"github.com/acaciaproxy/acaciaproxy/quarantiner"
)

// reportTimeout bounds a report to the leader, maxClearRepeats how often one of a completed request is repeated.
const (
	reportTimeout   = 800 * time.Millisecond
	maxClearRepeats = 10
)

// Reporter decides which requests of one node may run where. It is safe for
// concurrent use.
type Reporter struct {
	// node is this node's ID.
	node string
	// leader returns the client of the zone's leader, or an error when the zone has none.
	leader func() (nodewire.NodeClient, error)
	// workers returns the IDs of the workers that may get requests.
	workers func() []string
	// mu guards quarantiner.
	mu sync.Mutex
	// quarantiner holds the suspects of this node and the quarantines that the leader
	// decided; at the leader it holds those of the zone.
	quarantiner *quarantiner.Quarantiner
}

// New returns a reporter without suspects and quarantines. The fields of Reporter
// of the same names describe its parameters.
func New(node string, leader func() (nodewire.NodeClient, error), workers func() []string) *Reporter {
	return &Reporter{node: node, leader: leader, workers: workers, quarantiner: quarantiner.New()}
}

// Fingerprint returns the identifier of a request's content: a hash over target and
// content in hexadecimal, and the content's length in bytes. The target is the unit of a
// model request ("version" or "version/adapter") or the route of a service request.
func Fingerprint(target string, content []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(target)
	_, _ = digest.Write(content)
	return strconv.FormatUint(digest.Sum64(), 16) + "-" + strconv.Itoa(len(content))
}

// Check returns the verdict on a request that is about to be sent: that of this node,
// or of the leader if the request is quarantined and may be tried.
func (r *Reporter) Check(fingerprint string) quarantiner.Verdict {
	verdict := r.checkLocally(fingerprint)
	if !verdict.TrialDue {
		return verdict
	}
	r.mu.Lock()
	r.quarantiner.RecordAsked(time.Now(), fingerprint)
	r.mu.Unlock()
	tried := r.Recheck(fingerprint)
	if tried.Suspected {
		log.Info().Str("fingerprint", fingerprint).Str("worker", tried.Worker).Msg("quarantined request is tried")
	}
	return tried
}

// checkLocally returns this node's verdict on a request, without asking the leader.
func (r *Reporter) checkLocally(fingerprint string) quarantiner.Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantiner.Check(time.Now(), fingerprint, r.workers())
}

// ReportCrash reports to the leader that a worker crashed with a request in flight
// and returns the verdict on the request.
func (r *Reporter) ReportCrash(worker string, incarnation int64, fingerprint string) quarantiner.Verdict {
	r.mu.Lock()
	verdict := r.quarantiner.RecordCrash(time.Now(), worker, []string{fingerprint}, r.workers())[0]
	r.mu.Unlock()
	verdict = r.leaderVerdict(&nodewire.SuspectRequest{Worker: worker, Incarnation: incarnation, Fingerprints: []string{fingerprint}, Node: r.node}, verdict)
	log.Warn().Str("worker", worker).Str("fingerprint", fingerprint).Str("assigned", verdict.Worker).
		Time("quarantined", verdict.QuarantinedUntil).Msg("endpoint crashed with a request in flight")
	return verdict
}

// Recheck asks the leader again for the verdict on a suspect that waits for a worker.
func (r *Reporter) Recheck(fingerprint string) quarantiner.Verdict {
	return r.leaderVerdict(&nodewire.SuspectRequest{Fingerprints: []string{fingerprint}, Node: r.node}, r.checkLocally(fingerprint))
}

// leaderVerdict sends a request about one fingerprint and returns the leader's
// verdict, or the local one when no leader replies.
func (r *Reporter) leaderVerdict(request *nodewire.SuspectRequest, local quarantiner.Verdict) quarantiner.Verdict {
	reply, err := r.sendReport(request)
	if err != nil || !reply.GetLeading() || len(reply.GetVerdicts()) == 0 {
		return local
	}
	received := reply.GetVerdicts()[0]
	verdict := quarantiner.Verdict{Fingerprint: local.Fingerprint, Suspected: received.GetSuspected(), Worker: received.GetWorker()}
	if received.GetQuarantineMs() > 0 {
		r.AddQuarantine(local.Fingerprint, time.Now().Add(time.Duration(received.GetQuarantineMs())*time.Millisecond))
		return r.checkLocally(local.Fingerprint)
	}
	return verdict
}

// sendReport sends a report to the leader. It returns an error when the zone has no
// leader or the leader does not reply within reportTimeout.
func (r *Reporter) sendReport(request *nodewire.SuspectRequest) (*nodewire.SuspectReply, error) {
	client, err := r.leader()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	return client.Suspect(ctx, request)
}

// Clear ends the suspicion and the quarantine of a request that completed, here and at the
// leader. A report that fails is repeated a few times; what the leader has not heard by then
// expires there.
func (r *Reporter) Clear(fingerprint string) {
	r.mu.Lock()
	r.quarantiner.Clear(time.Now(), fingerprint)
	r.mu.Unlock()
	if err := r.reportCleared(fingerprint); err == nil {
		return
	}
	go func() {
		for range maxClearRepeats {
			time.Sleep(reportTimeout)
			err := r.reportCleared(fingerprint)
			if err == nil {
				return
			}
			log.Info().Str("fingerprint", fingerprint).Err(err).Msg("leader not told of a completed suspect")
		}
	}()
}

// reportCleared tells the leader that a request completed.
func (r *Reporter) reportCleared(fingerprint string) error {
	reply, err := r.sendReport(&nodewire.SuspectRequest{Cleared: []string{fingerprint}, Node: r.node})
	if err == nil && !reply.GetLeading() {
		return fmt.Errorf("crashreporter: report that request %q completed: the node that was asked does not lead the zone", fingerprint)
	}
	return err
}

// AddQuarantine adds a quarantine that the leader decided; one that ends now has been cleared there.
func (r *Reporter) AddQuarantine(fingerprint string, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.quarantiner.AddQuarantine(time.Now(), fingerprint, until)
}

// HandleReport applies a node's report at the leader and returns the verdict on each
// fingerprint of the report.
func (r *Reporter) HandleReport(request *nodewire.SuspectRequest) []*nodewire.SuspectVerdict {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fingerprint := range request.GetCleared() {
		r.quarantiner.Clear(now, fingerprint)
	}
	var verdicts []*nodewire.SuspectVerdict
	for _, verdict := range r.verdicts(now, request) {
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
func (r *Reporter) verdicts(now time.Time, request *nodewire.SuspectRequest) []quarantiner.Verdict {
	if request.GetWorker() != "" {
		return r.quarantiner.RecordCrash(now, request.GetWorker(), request.GetFingerprints(), r.workers())
	}
	var verdicts []quarantiner.Verdict
	for _, fingerprint := range request.GetFingerprints() {
		verdicts = append(verdicts, r.quarantiner.Try(now, fingerprint, r.workers()))
	}
	return verdicts
}

// Quarantines returns the quarantined fingerprints with their remaining time, for
// the other nodes of the zone; it is 0 for those that were cleared.
func (r *Reporter) Quarantines(now time.Time) []*nodewire.Quarantine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var quarantines []*nodewire.Quarantine
	for fingerprint, until := range r.quarantiner.Quarantined(now) {
		quarantines = append(quarantines, &nodewire.Quarantine{Fingerprint: fingerprint, RemainingMs: until.Sub(now).Milliseconds()})
	}
	return quarantines
}
