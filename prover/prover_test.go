package prover_test

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// TestConnections guards against a response that is taken for a proof of another exchange than its own, and against a request that goes over a connection which
// has carried it.
func TestConnections(t *testing.T) {
	var cases []struct {
		Name string
		// Steps are played on one connection. "begin ID" begins an exchange, "refuse ID" and "answer ID" are a response to the last one that was begun.
		// ID may be empty; "flood N" plays N exchanges that are refused, "serve N" as many that are answered. A step that ends in " fails" must be denied.
		Steps []string
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/connections.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		connection := prover.NewConnection("a:1")
		var exchange *prover.Exchange
		for _, step := range test.Steps {
			words := strings.Split(strings.TrimSuffix(step, " fails"), " ")
			err := playStep(connection, &exchange, words[0], words[1])
			g.Expect(err != nil).To(gomega.Equal(strings.HasSuffix(step, " fails")), "%s: %s: %v", test.Name, step, err)
			var carried *prover.CarriedError
			var foreign *prover.ForeignError
			g.Expect(err == nil || errors.As(err, &carried) || errors.As(err, &foreign)).To(gomega.BeTrue(), "%s: %s: %v", test.Name, step, err)
		}
	}
}

// playStep plays one step on a connection; exchange is the last one that was begun.
func playStep(connection *prover.Connection, exchange **prover.Exchange, verb, id string) error {
	switch verb {
	case "begin":
		begun, err := connection.Begin(id)
		if err == nil {
			*exchange = begun
		}
		return err
	case "refuse":
		_, err := (*exchange).Refusal(id)
		return err
	case "answer":
		return (*exchange).Answer(id)
	}
	count, err := strconv.Atoi(id)
	if err != nil {
		return err
	}
	for i := range count {
		id := fmt.Sprintf("%s-%d", verb, i)
		if err := playStep(connection, exchange, "begin", id); err != nil {
			return err
		}
		if err := playStep(connection, exchange, map[string]string{"flood": "refuse", "serve": "answer"}[verb], id); err != nil {
			return err
		}
	}
	return nil
}

// TestSuspects guards against servers that write responses more than once getting requests over kept connections, and against a table that grows without end.
func TestSuspects(t *testing.T) {
	var cases []struct {
		Name string
		// Added and Asked are the seconds at which the address is added and asked for. Others is the number of addresses that were added at second 0 before.
		Added, Asked, Others int
		Suspected            bool
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/suspects.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		var suspects prover.Suspects
		at := func(second int) time.Time { return time.Unix(int64(second), 0) }
		for i := range test.Others {
			suspects.Add(at(0), fmt.Sprintf("10.0.%d.%d:80", i/256, i%256))
		}
		added := suspects.Add(at(test.Added), "a:1")
		g.Expect(suspects.Suspected(at(test.Asked), "a:1")).To(gomega.Equal(test.Suspected), test.Name)
		g.Expect(suspects.Suspected(at(test.Asked), "b:1")).To(gomega.BeFalse(), test.Name)
		g.Expect(added).To(gomega.Equal(test.Suspected || test.Asked > test.Added), test.Name)
	}
}

// TestLedger guards against a promise for a request of which a send has no proof.
func TestLedger(t *testing.T) {
	var cases []struct {
		Name string
		// Steps are "begin", "proof" and "nothing", a zero Proof.
		Steps      []string
		MayHaveRun int
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/ledgers.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		var ledger prover.Ledger
		for _, step := range test.Steps {
			switch step {
			case "begin":
				ledger.Begin()
			case "proof":
				ledger.Prove(prover.Unsent())
			default:
				ledger.Prove(prover.Proof{})
			}
		}
		promise, err := ledger.Promise()
		g.Expect(ledger.MayHaveRun()).To(gomega.Equal(test.MayHaveRun), test.Name)
		g.Expect(promise.Given()).To(gomega.Equal(test.MayHaveRun == 0), test.Name)
		var unproved *prover.UnprovedError
		g.Expect(errors.As(err, &unproved)).To(gomega.Equal(test.MayHaveRun > 0), test.Name)
	}
}

// TestPromises guards against a status that callers take for a promise and that is sent without one.
func TestPromises(t *testing.T) {
	g := gomega.NewWithT(t)
	var statuses []struct {
		Status   int
		Promises bool
	}
	g.Expect(casereader.Read("testdata/statuses.json", &statuses)).To(gomega.Succeed())
	for _, test := range statuses {
		g.Expect(prover.Promises(test.Status)).To(gomega.Equal(test.Promises), "status %d", test.Status)
	}
}
