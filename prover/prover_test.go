package prover_test

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/prover"
)

// TestEvidence guards against a response that is taken for a proof of another send than its own.
func TestEvidence(t *testing.T) {
	var cases []struct {
		Name, Connection, Sent, Received string
		Again, Proves                    bool
	}
	g := gomega.NewWithT(t)
	g.Expect(casereader.Read("testdata/evidence.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		_, err := prover.NewEvidence(prover.Connection(test.Connection), test.Sent, test.Received, test.Again).Refusal()
		var foreign *prover.ForeignError
		g.Expect(errors.As(err, &foreign)).To(gomega.Equal(!test.Proves), test.Name)
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
