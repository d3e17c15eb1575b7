package commander

import (
	"bytes"
	"net"
	"path/filepath"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/adminserver"
	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/platform"
)

// startRecordedNode starts the operators' interface of a node that gives the recorded answers of examples/operations/where.json, until the spec ends.
func startRecordedNode() (address string) {
	var recorded []struct {
		Route, Model string
		Answer       forwarder.Whereabouts
	}
	gomega.Expect(casereader.Read("../examples/operations/where.json", &recorded)).To(gomega.Succeed())
	server := adminserver.NewMetrics(func(get func(string) string) (forwarder.Whereabouts, error) {
		question, err := platform.DecodeQuestion(get, time.Now())
		if err != nil {
			return forwarder.Whereabouts{}, err
		}
		for _, answer := range recorded {
			if strings.HasPrefix(question.Request.Target, "/"+answer.Route+"/") && question.Request.Model == answer.Model {
				return answer.Answer, nil
			}
		}
		return forwarder.Whereabouts{Refusal: &forwarder.Refusal{Status: 404, Code: "no_route", Message: "no route leads here"}}, nil
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = server.Serve(listener) }() // Ends with Stop.
	ginkgo.DeferCleanup(func() { _ = server.Stop() })
	return listener.Addr().String()
}

// Guards against parameters that do not reach the node, faults of the query that are hidden, and answers that are not printed.
var _ = ginkgo.Describe("where", func() {
	var cases []struct {
		Name, Arguments string
		Exit            int
		Stdout, Stderr  []string
	}
	gomega.Expect(casereader.Read(filepath.Join("testdata", "where.json"), &cases)).To(gomega.Succeed())
	for _, c := range cases {
		ginkgo.It(c.Name, func() {
			var stdout, stderr bytes.Buffer
			arguments := append([]string{"where", "-node", startRecordedNode()}, strings.Fields(c.Arguments)...)
			gomega.Expect(Main(arguments, &stdout, &stderr)).To(gomega.Equal(c.Exit), stderr.String())
			for _, text := range c.Stdout {
				gomega.Expect(stdout.String()).To(gomega.ContainSubstring(text))
			}
			for _, text := range c.Stderr {
				gomega.Expect(stderr.String()).To(gomega.ContainSubstring(text))
			}
		})
	}
	ginkgo.It("takes no key", func() {
		var output bytes.Buffer
		gomega.Expect(Main([]string{"where", "-node", "127.0.0.1:1", "-host", "h", "-key", "k"}, &output, &output)).To(gomega.Equal(ExitUsage))
	})
})
