// Package isolator keeps requests that crash endpoints away from them. It
// reports crashes to the zone's leader, which rules for all nodes, and rules
// by itself while the leader cannot be reached.
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

// reportTime bounds a report to the leader.
const reportTime = 800 * time.Millisecond

// Isolator is safe for use by several goroutines.
type Isolator struct {
	node string
	// leader returns the client of the zone's leader, or an error when there is none.
	leader func() (nodewire.NodeClient, error)
	// workers returns the workers that may get work.
	workers func() []string
	// mu guards rules.
	mu sync.Mutex
	// rules is this node's own ruling; verdicts of the leader are taken into it.
	rules *quarantiner.Quarantiner
}

// New returns an isolator that suspects nothing.
func New(node string, leader func() (nodewire.NodeClient, error), workers func() []string) *Isolator {
	return &Isolator{node: node, leader: leader, workers: workers, rules: quarantiner.New()}
}

// Fingerprint identifies the content of a request.
func Fingerprint(unit string, content []byte) string {
	digest := xxhash.New()
	_, _ = digest.WriteString(unit)
	_, _ = digest.Write(content)
	return strconv.FormatUint(digest.Sum64(), 16) + "-" + strconv.Itoa(len(content))
}

// Check returns what this node knows about a request before it is sent.
func (i *Isolator) Check(fingerprint string) quarantiner.Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.rules.Check(time.Now(), fingerprint, i.workers())
}

// Crashed reports that a worker crashed with a request in flight and returns
// what holds for the request now.
func (i *Isolator) Crashed(worker string, incarnation int64, fingerprint string) quarantiner.Verdict {
	i.mu.Lock()
	verdict := i.rules.Crash(time.Now(), worker, []string{fingerprint}, i.workers())[0]
	i.mu.Unlock()
	verdict = i.ruled(&nodewire.SuspectRequest{Worker: worker, Incarnation: incarnation, Fingerprints: []string{fingerprint}, Node: i.node}, verdict)
	log.Warn().Str("worker", worker).Str("fingerprint", fingerprint).Str("assigned", verdict.Worker).
		Time("quarantined", verdict.QuarantinedUntil).Msg("endpoint crashed with a request in flight")
	return verdict
}

// Recheck asks again what holds for a suspect that waits for a worker.
func (i *Isolator) Recheck(fingerprint string) quarantiner.Verdict {
	return i.ruled(&nodewire.SuspectRequest{Fingerprints: []string{fingerprint}, Node: i.node}, i.Check(fingerprint))
}

// ruled returns the leader's verdict, or this node's own when no leader answers.
func (i *Isolator) ruled(request *nodewire.SuspectRequest, own quarantiner.Verdict) quarantiner.Verdict {
	reply, err := i.tell(request)
	if err != nil || !reply.GetLeading() || len(reply.GetVerdicts()) == 0 {
		return own
	}
	verdict := reply.GetVerdicts()[0]
	ruled := quarantiner.Verdict{Fingerprint: own.Fingerprint, Suspected: verdict.GetSuspected(), Worker: verdict.GetWorker()}
	if verdict.GetQuarantineMs() > 0 {
		ruled.QuarantinedUntil = time.Now().Add(time.Duration(verdict.GetQuarantineMs()) * time.Millisecond)
		i.Restore(own.Fingerprint, ruled.QuarantinedUntil)
	}
	return ruled
}

func (i *Isolator) tell(request *nodewire.SuspectRequest) (*nodewire.SuspectReply, error) {
	client, err := i.leader()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTime)
	defer cancel()
	return client.Suspect(ctx, request)
}

// Clear reports that a suspect ran to its end.
func (i *Isolator) Clear(fingerprint string) {
	i.mu.Lock()
	i.rules.Clear(fingerprint)
	i.mu.Unlock()
	_, _ = i.tell(&nodewire.SuspectRequest{Cleared: []string{fingerprint}, Node: i.node})
}

// Restore takes in a quarantine that the leader decided.
func (i *Isolator) Restore(fingerprint string, until time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.rules.Restore(fingerprint, until)
}

// Rule answers a report of another node, as the leader.
func (i *Isolator) Rule(request *nodewire.SuspectRequest) []*nodewire.SuspectVerdict {
	now := time.Now()
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, fingerprint := range request.GetCleared() {
		i.rules.Clear(fingerprint)
	}
	var verdicts []*nodewire.SuspectVerdict
	for _, verdict := range i.judge(now, request) {
		ruled := &nodewire.SuspectVerdict{Fingerprint: verdict.Fingerprint, Worker: verdict.Worker, Suspected: verdict.Suspected}
		if !verdict.QuarantinedUntil.IsZero() {
			ruled.QuarantineMs = verdict.QuarantinedUntil.Sub(now).Milliseconds()
		}
		verdicts = append(verdicts, ruled)
	}
	return verdicts
}

// judge returns what holds for the request's fingerprints; the caller holds mu.
func (i *Isolator) judge(now time.Time, request *nodewire.SuspectRequest) []quarantiner.Verdict {
	if request.GetWorker() != "" {
		return i.rules.Crash(now, request.GetWorker(), request.GetFingerprints(), i.workers())
	}
	var verdicts []quarantiner.Verdict
	for _, fingerprint := range request.GetFingerprints() {
		verdicts = append(verdicts, i.rules.Check(now, fingerprint, i.workers()))
	}
	return verdicts
}

// Quarantines returns what is quarantined, for the other nodes of the zone.
func (i *Isolator) Quarantines(now time.Time) []*nodewire.Quarantine {
	i.mu.Lock()
	defer i.mu.Unlock()
	var all []*nodewire.Quarantine
	for fingerprint, until := range i.rules.Quarantined(now) {
		all = append(all, &nodewire.Quarantine{Fingerprint: fingerprint, RemainingMs: until.Sub(now).Milliseconds()})
	}
	return all
}
