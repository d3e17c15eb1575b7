package forwarder

import (
	"errors"
	"fmt"
	"strings"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// maxNameBytes bounds names and causes in log lines that workers and nodes choose.
const maxNameBytes = 64

// try is one send of a call to a worker, or one node that was asked to serve it.
type try struct {
	// target is the send's number with worker and address, or the node.
	target string
	// number is the send's, 0 for a node.
	number int
	// evidence is what is known of the send; zero for a node.
	evidence prover.Evidence
	// outcome says how it ended, or is empty while it has not; answered is the request that its response names, if that is another one.
	outcome, answered string
}

// String returns the try in a line's field. Its length is bounded.
func (t try) String() string {
	text := t.target
	if t.evidence.Connection() != 0 {
		text += fmt.Sprintf(" #%d after %d", t.evidence.Connection(), t.evidence.Earlier())
	}
	if text += ": " + clip(t.outcome); t.outcome == "" {
		text += "no response yet"
	}
	if t.answered != "" {
		text += ", response names " + clip(t.answered)
	}
	return text
}

// tries are the last tries of one call, maxSends at most, so that the one line about its end tells its whole way: lines on single sends may be left out. The zero
// value has none. They are not safe for concurrent use.
type tries struct {
	last []try
	// from is the node that passed the call on, empty for a caller's.
	from string
}

func (t *tries) add(next try) {
	if len(t.last) >= maxSends {
		t.last = append(t.last[:0], t.last[1:]...)
	}
	t.last = append(t.last, next)
}

// begin records that a send begins.
func (t *tries) begin(number int, worker *registrar.Worker) {
	t.add(try{number: number, target: fmt.Sprintf("%d %s %s", number, clip(worker.ID), clip(worker.Address)), evidence: prover.Unconnected(worker.Address, "")})
}

// respond records the head of the response to the last send.
func (t *tries) respond(response *Response) {
	last := &t.last[len(t.last)-1]
	last.evidence, last.outcome = response.Evidence, fmt.Sprintf("status %d", response.Status)
}

// fail records the error with which the last send ended.
func (t *tries) fail(request string, err error) {
	last := &t.last[len(t.last)-1]
	if evidence := evidenceOf(err); evidence.Address() != "" { // Else the head of the response has been recorded.
		last.evidence = evidence
	}
	if received := last.evidence.ReceivedID(); received != request {
		last.answered = received
	}
	last.outcome = outcomeOf(err)
}

// evidence returns what is known of the last send.
func (t *tries) evidence() prover.Evidence { return t.last[len(t.last)-1].evidence }

// number returns the number of the last send.
func (t *tries) number() int { return t.last[len(t.last)-1].number }

// pass records how a node that was asked to serve the call took that.
func (t *tries) pass(node, outcome string) {
	t.add(try{target: "node " + clip(node), outcome: outcome})
}

// list returns the tries in order.
func (t *tries) list() []string {
	texts := make([]string, 0, len(t.last))
	for _, one := range t.last {
		texts = append(texts, one.String())
	}
	return texts
}

// outcomeOf returns the outcome of a send that ended with an error.
func outcomeOf(err error) string {
	var notRun *NotRunError
	var foreign *prover.ForeignError
	var broken *BrokenError
	switch {
	case errors.As(err, &notRun) && notRun.status == 0:
		return "not run, " + string(notRun.reason)
	case errors.As(err, &notRun):
		return fmt.Sprintf("not run, %s, status %d", notRun.reason, notRun.status)
	case errors.As(err, &foreign) && errors.As(err, &broken):
		return fmt.Sprintf("response of another send, status %d", broken.status)
	case errors.As(err, &broken):
		return "broken, " + broken.cause.Error()
	}
	return "broken, " + err.Error()
}

// clip returns the beginning of a text that others choose, as valid UTF-8.
func clip(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxNameBytes)], "?")
}

// logForeign counts and logs a send whose response belongs to another one.
func (f *Forwarder) logForeign(c *call, worker *registrar.Worker, err error) {
	var foreign *prover.ForeignError
	if !errors.As(err, &foreign) {
		return
	}
	f.dependencies.Recorder.Count("responses to other sends")
	status := 0
	var broken *BrokenError
	if errors.As(err, &broken) {
		status = broken.status
	}
	evidence := evidenceOf(err)
	logger.Warn("response belongs to another send").Str("request", c.ID).Str("answered_request", clip(evidence.ReceivedID())).Str("worker", worker.ID).Int64("born", worker.Incarnation).
		Str("address", evidence.Address()).Int64("connection_number", evidence.Connection()).Int("earlier", evidence.Earlier()).Int("status", status).Msg("response belongs to another send")
}
