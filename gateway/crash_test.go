package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/engineclient"
	"github.com/acaciaproxy/acaciaproxy/settingsreader"
	"github.com/acaciaproxy/acaciaproxy/tracker"
)

// TestCrashWitnesses guards against sound requests that are suspected of crashes, and refused after two of them, since their node has lost the path to the workers.
func TestCrashWitnesses(t *testing.T) {
	var cases []struct {
		Name string
		// Workers are the workers; the attempt broke at the first one, whose incarnation was 1. The node is in zone "a".
		Workers []struct {
			Zone string
			// Incarnation is that of the worker's report; 0 if it does not answer.
			Incarnation int64
			Leaving     bool
		}
		Crashed bool
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/witnesses.json", &cases)).To(gomega.Succeed())
	settings, err := settingsreader.Parse("test", []byte(`{"name":"n","zone":"a","callers":"127.0.0.1:1","nodes":"127.0.0.1:2","operators":"127.0.0.1:3","platform":"127.0.0.1:4"}`))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			known := tracker.New()
			var listings []tracker.Listing
			for i, worker := range c.Workers {
				id, address := fmt.Sprint("w", i), "127.0.0.1:1"
				if worker.Incarnation > 0 {
					engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						_, _ = fmt.Fprintf(w, `{"incarnation":%d}`, worker.Incarnation)
					}))
					defer engine.Close()
					address = strings.TrimPrefix(engine.URL, "http://")
				}
				listings = append(listings, tracker.Listing{ID: id, Address: address, Zone: worker.Zone, Slots: 1, Leaving: worker.Leaving})
				known.SetLeaderReport(tracker.LeaderReport{ID: id, Incarnation: 1})
			}
			known.SetListed(listings)
			gateway := &Gateway{dependencies: Dependencies{Settings: settings, Tracker: known}, engines: map[string]*engineclient.Client{}}
			g.Expect(gateway.hasCrashed(&modelRequest{request: &callerRequest{id: "own"}, worker: "w0", incarnation: 1})).To(gomega.Equal(c.Crashed))
		})
	}
}
