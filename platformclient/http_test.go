package platformclient_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/platformclient"
	"github.com/acaciaproxy/acaciaproxy/rawpeer"
)

// TestKeptCalls guards against a response too many on a connection that is taken for the response to a later call there.
func TestKeptCalls(t *testing.T) {
	var cases []struct {
		Name string
		// Connections are the scripts of the platform's connections.
		Connections [][]string
		// Calls are made one after another. End is "done" or "conflict" for a "write", the only key for a "read", the content of an "object", the only ID of
		// "hosts"; "none" for an empty response, and "unknown" for a call without a response.
		Calls []struct{ Kind, End string }
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/kept_calls.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			peer, err := rawpeer.NewScriptedWorker(test.Connections)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer peer.Close()
			platform := platformclient.NewHTTP(peer.Address(), "z")
			for i, call := range test.Calls {
				g.Expect(callEnd(platform, call.Kind)).To(gomega.Equal(call.End), "call %d", i+1)
			}
		})
	}
}

// callEnd makes a call and returns how it ended, as in TestKeptCalls.
func callEnd(platform *platformclient.Platform, kind string) string {
	deadline := time.Now().Add(5 * time.Second)
	end := "none"
	var err error
	switch kind {
	case "write":
		var result platformclient.WriteResult
		result, err = platform.Write(deadline, platformclient.Transaction{})
		end = map[bool]string{true: "done", false: "conflict"}[result.Done]
	case "read":
		var rows []platformclient.Row
		rows, err = platform.ReadRows(deadline, []string{"k"}, "")
		for _, row := range rows {
			end = row.Key
		}
	case "object":
		var content []byte
		content, err = platform.GetObject(deadline, "o")
		end = string(content)
	case "hosts":
		var hosts []platformclient.Host
		hosts, err = platform.ListHosts(deadline)
		for _, host := range hosts {
			end = host.ID
		}
	}
	if err != nil {
		return "unknown"
	}
	return end
}
