package gateway

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/configreader"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/queuer"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// successorConfiguration has a route whose requests may run twice, so that they share connections.
const successorConfiguration = `{
	"deployments": [{"name": "d", "zones": ["z"], "rate": 1, "parallel": 1}],
	"workers": [{"name": "w", "zone": "z", "count": 1, "memory": 40}],
	"versions": [{"name": "u", "checkpoint": "c", "memory": 14, "load": 2}],
	"models": [{"name": "m", "version": "u"}],
	"routes": [{"name": "r", "model": "m", "idempotent": true}]
}`

// TestSuccessors guards against the copy of a refusal that is believed since the request went to the same address under another worker's name.
func TestSuccessors(t *testing.T) {
	var cases []struct {
		Name        string
		Connections [][]string
		// Attempts are those of the request; End is "declined", "broken" or "answered".
		Attempts []struct{ Worker, End string }
		// Promised is set if the caller may be told that the request did not run.
		Promised bool
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/successors.json", &cases)).To(gomega.Succeed())
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			engine, err := rawpeer.NewScriptedWorker(c.Connections)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer engine.Close()
			known := tracker.New()
			configuration, err := configreader.Parse("test", []byte(successorConfiguration))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			route, found := configuration.Route("r")
			g.Expect(found).To(gomega.BeTrue())
			gateway := &Gateway{dependencies: Dependencies{Tracker: known, Queuer: queuer.New()}, engines: map[string]*engineclient.Client{}}
			m := &modelRequest{request: &callerRequest{id: "r", route: route, deadline: time.Now().Add(5 * time.Second)}, body: &completionBody{}, path: "/v1/completions", unit: "u"}
			for _, attempt := range c.Attempts {
				known.SetListed([]tracker.Listing{{ID: attempt.Worker, Address: engine.Address(), Slots: 1}})
				m.worker = attempt.Worker
				g.Expect(attemptEnd(gateway, m)).To(gomega.Equal(attempt.End), attempt.Worker)
			}
			_, err = m.request.ledger.Promise()
			g.Expect(err == nil).To(gomega.Equal(c.Promised))
		})
	}
}

// attemptEnd makes an attempt and returns how it ended.
func attemptEnd(gateway *Gateway, m *modelRequest) string {
	response, err := gateway.sendAttempt(m, 0)
	var notRun *engineclient.NotRunError
	switch {
	case err == nil:
		defer response.Close()
		if _, err := io.ReadAll(response); err != nil {
			return "broken"
		}
		return "answered"
	case errors.As(err, &notRun):
		return "declined"
	}
	return "broken"
}
