package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

const (
	// unreachableWorkers is the number of different workers that must have been unreachable for a request to be passed on while the node does not count as cut off.
	unreachableWorkers = 2
	// giveUpWorkers is the number of different workers after which it is passed on although there are others, so that it does not wait until it is
	// settled whether the node is cut off.
	giveUpWorkers = 3
	// maxCarriedBody bounds the body of a request that is carried.
	maxCarriedBody = 256 << 10
	// maxCarried bounds the requests that a node serves for others at the same time.
	maxCarried = 256
)

// Carried is the response to a request that another node served.
type Carried struct {
	// Node is the address of that node, for log lines.
	Node   string
	Status int
	Header http.Header
	// Body fails unless it is read to the end of the whole response.
	Body io.ReadCloser
}

// cutOffError ends the choice of a worker for a call that is to be passed to another node.
type cutOffError struct{}

// Error says why.
func (e *cutOffError) Error() string {
	return "this node reaches no worker that could serve the request"
}

// refuseCutOff returns the refusal of a call that this node cannot send to any worker.
func (f *Forwarder) refuseCutOff(c *call) error {
	return c.refuse("cut_off", "this node reaches no worker; another may", cutRetry)
}

// CarriedOutcome says how a request that another node passed on has ended.
type CarriedOutcome struct{ refused, untried bool }

// Refused reports whether the request was refused: it has not run.
func (o *CarriedOutcome) Refused() bool { return o.refused }

// Untried reports whether the request was refused before any send of it reached a worker.
func (o *CarriedOutcome) Untried() bool { return o.refused && o.untried }

// carriedKey is the key of the carriedRequest in the context of a request that another node passed on.
type carriedKey struct{}

// carriedRequest is what a request that another node passed on has beside its own content.
type carriedRequest struct {
	// outcome is set at the end of the request; nil for a request that no node passed on.
	outcome *CarriedOutcome
	// once is set if the request must run once by the configuration of that node.
	once bool
	// from is the name of that node.
	from string
	// credential is what that node says of the caller.
	credential Credential
}

// ServeCarried serves a request that the node named from passed on, by whose configuration it must run once if once is set; it is not passed on
// again. The credential is checked like a key. The outcome is set before the head of the response is written.
func (f *Forwarder) ServeCarried(w http.ResponseWriter, r *http.Request, from string, once bool, credential Credential, outcome *CarriedOutcome) {
	defer f.carried.Add(-1)
	held, err := f.holdCarried(r)
	defer held.Release()
	if f.carried.Add(1) > maxCarried || err != nil {
		outcome.refused, outcome.untried = true, true
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	passedOn := carriedRequest{outcome: outcome, once: once, from: from, credential: credential}
	f.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), carriedKey{}, passedOn)))
}

// carried returns what another node told of a request that it passed on; the zero value for others.
func carried(r *http.Request) carriedRequest {
	passedOn, _ := r.Context().Value(carriedKey{}).(carriedRequest)
	return passedOn
}

// mayCarry reports whether a call may be passed to another node: nothing of it can have run, and it has not been passed on before.
func (c *call) mayCarry() bool {
	return !c.isCarried && !c.carryTried && c.ledger.MayHaveRun() == 0 && c.lastEventID == "" && len(c.Body) <= maxCarriedBody
}

// carry passes a call to another node and relays its response. It returns false if no node has taken it, which has not run then, and this node may send it.
func (f *Forwarder) carry(ctx context.Context, w http.ResponseWriter, c *call) (done bool, err error) {
	c.carryTried = true
	f.endTrial(c, time.Now())
	c.ledger.Begin()
	response, err := f.dependencies.Carry(ctx, c.Request, !f.mayRepeat(c), c.deadline, func(node string, untried bool) bool {
		c.tries.pass(node, lo.Ternary(untried, "refused, untried", "refused"))
		if !untried {
			c.reached, c.retryAllowed = true, false
		}
		return f.allowRetry(time.Now(), c)
	})
	var notRun *NotRunError
	node := ""
	if response != nil {
		node = response.Node
		c.tries.pass(node, outcomeOfCarry(response, err))
	}
	logger.Info("request passed to another node").Str("request", c.ID).Str("node", node).Strs("unreachable", c.unreachableAddresses()).Bool("reached", c.reached).Int64("left_ms", time.Until(c.deadline).Milliseconds()).Err(err).Msg("request passed to another node")
	if errors.As(err, &notRun) {
		c.ledger.Prove(notRun.proof)
		f.dependencies.Recorder.Count("requests no node took")
		if !f.allowRetry(time.Now(), c) {
			return true, c.refuse("full", "no node found a worker with room, and the retry budget is spent", busyRetry)
		}
		return false, nil
	}
	f.dependencies.Recorder.Count("requests carried")
	if err != nil {
		if ctx.Err() != nil {
			return true, newFailure(http.StatusGatewayTimeout, "late", "the node that serves the request did not answer in time: "+err.Error())
		}
		return true, newFailure(http.StatusBadGateway, "broken", "the node that serves the request broke off: "+err.Error())
	}
	defer func() { _ = response.Body.Close() }() // Unread bytes are discarded.
	if prover.Promises(response.Status) {
		// The other node has refused nothing, so the status is a worker's.
		return true, newFailure(http.StatusBadGateway, "unproved", (&UnprovedRefusalError{status: response.Status}).Error())
	}
	copyHeader(w.Header(), response.Header)
	f.writeHead(w, response.Status)
	controller := http.NewResponseController(w)
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := response.Body.Read(buffer)
		if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
			return true, &abortError{cause: writeErr}
		}
		if flushErr := controller.Flush(); flushErr != nil {
			return true, &abortError{cause: flushErr}
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return true, &abortError{cause: err}
		}
	}
}

// outcomeOfCarry returns how the node that took a request ended it.
func outcomeOfCarry(response *Carried, err error) string {
	if err != nil {
		return "broken, " + err.Error()
	}
	return fmt.Sprintf("status %d", response.Status)
}

// seemsCutOff reports whether another zone seems cut off: this node received no message from its leader recently, or
// the stream of its messages ended.
func (f *Forwarder) seemsCutOff(now time.Time, zone string) bool {
	return zone != f.dependencies.Zone && !f.dependencies.Tracker.IsLeaderLive(now, zone)
}
