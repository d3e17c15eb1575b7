package forwarder_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/crashkeeper"
	"github.com/acaciaproxy/acaciaproxy/forwarder"
	"github.com/acaciaproxy/acaciaproxy/registrar"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

// versionScript is one script of testdata/versions.json.
type versionScript struct {
	Name                            string
	Workers                         []string
	Resumes, After, Own, Leaders    string
	Archived                        string
	ListOld, LeadersAnswer, Crashed bool
	StoreDown, Young                bool
	Recalled, LeadersList           []string
	Meanwhile                       []string
	Sends                           []versionSend
	Status, LeadersAfterMS          int
	Code, CrashedBefore             string
}

// versionSend is the result of one send of a versionScript.
type versionSend struct {
	Events int
	// At is a software version, "same" for the worker of the first send or its version, "other" for another version.
	At  string
	Cut bool
}

// versionPlayer answers the sends of a versionScript.
type versionPlayer struct {
	script versionScript
	// sent are the workers of the sends.
	sent []*registrar.Worker
	// events counts the events of all sends.
	events int
}

func (p *versionPlayer) send(attempt forwarder.Send) (*forwarder.Response, error) {
	broken := func(why string) (*forwarder.Response, error) {
		return nil, forwarder.NewBrokenError(attempt.Worker.ID, errors.New(why))
	}
	if len(p.sent) >= len(p.script.Sends) {
		return broken("the script has no more sends")
	}
	next := p.script.Sends[len(p.sent)]
	p.sent = append(p.sent, attempt.Worker)
	first := p.sent[0]
	sameVersion := attempt.Worker.Software == first.Software && (first.Software != "" || attempt.Worker.ID == first.ID)
	if next.At == "same" && !sameVersion || next.At == "other" && sameVersion || strings.HasPrefix(next.At, "v") && attempt.Worker.Software != next.At {
		return broken("sent to worker " + attempt.Worker.ID + " of version " + attempt.Worker.Software)
	}
	text := ""
	for range next.Events {
		p.events++
		text += fmt.Sprintf("id:%d\ndata:x\n\n", p.events)
	}
	response := &forwarder.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: io.NopCloser(strings.NewReader(text))}
	if next.Cut {
		response.Body = io.NopCloser(&brokenBody{strings.NewReader(text + "id:")})
	}
	return response, nil
}

// Guards against streams that go on at a worker of another software version than the one that began them.
var _ = ginkgo.Describe("streams while workers of several software versions serve", func() {
	var scripts []versionScript
	gomega.Expect(casereader.Read("testdata/versions.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			f := newFixture(nil, false)
			defer f.server.Close()
			f.archived, f.archiveRead = s.Archived, !s.StoreDown
			f.crashed, f.listOld, f.leadersAnswer, f.versions = s.Crashed, s.ListOld, s.LeadersAnswer, &versionPlayer{script: s}
			now := time.Now()
			newWorker := func(text string, _ int) registrar.Worker {
				id, software, _ := strings.Cut(text, " ")
				return registrar.Worker{ID: id, Service: "models", Zone: "z", Address: "127.0.0.1:1", Software: software, Slots: 8, Loaded: map[string][]string{"m": nil}, SeenAt: now, RowVersion: 2}
			}
			f.list.Replace(now, lo.Map(s.Workers, newWorker), 2)
			f.listedMeanwhile = lo.Map(lo.Map(s.Meanwhile, newWorker), func(w registrar.Worker, _ int) registrar.Change { return registrar.Change{Worker: w} })
			if !s.Young {
				f.list.Recall(now, registrar.Software{"models": lo.SliceToMap(s.Recalled, func(version string) (string, time.Time) { return version, now })})
			}
			f.leadersList = s.LeadersList
			f.tracker.MarkWorkersChanged()
			if s.CrashedBefore != "" {
				f.crashes.Learn(now, crashkeeper.Crash{Fingerprint: "f", Worker: s.CrashedBefore, FoundAt: now}, "test")
			}
			if s.Own != "" {
				f.streams.Record(now, "first", streamkeeper.Origin{Service: "models", Software: s.Own})
			}
			if s.Leaders != "" {
				f.origins, f.originsAt = map[string]streamkeeper.Origin{"first": {Service: "models", Software: s.Leaders}}, now.Add(time.Duration(s.LeadersAfterMS)*time.Millisecond)
			}
			request := f.request("/resumable/x", "m")
			request.Header.Set("Resumes", s.Resumes)
			request.Header.Set("After", s.After)
			response, err := http.DefaultTransport.RoundTrip(request)
			if s.Status == 0 {
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}
				gomega.Expect(err).To(gomega.HaveOccurred())
			} else {
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				body, err := io.ReadAll(response.Body)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(response.StatusCode).To(gomega.Equal(s.Status), string(body))
				gomega.Expect(string(body)).To(gomega.ContainSubstring(s.Code))
				gomega.Expect(response.Header.Get("Retry-After") != "").To(gomega.Equal(s.Status == http.StatusServiceUnavailable))
			}
			gomega.Expect(f.versions.sent).To(gomega.HaveLen(len(s.Sends)))
			if origin, known := f.streams.Find(time.Now(), streamkeeper.Hash(lo.Ternary(s.Resumes == "", "r", s.Resumes))); s.Status == http.StatusOK && f.versions.sent[0].Software != "" {
				gomega.Expect(known).To(gomega.BeTrue(), "origin is known")
				gomega.Expect(origin.Software).To(gomega.Equal(f.versions.sent[len(f.versions.sent)-1].Software))
			}
		})
	}
})
