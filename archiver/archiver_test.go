package archiver

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/streamkeeper"
)

func TestArchiver(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "archiver")
}

// archiveStep is one event of a script.
type archiveStep struct {
	// Node does the step. Do is "add" for Count streams that begin with the number First, "write" for its writer's turn at AtMS, "find" for a look at the
	// stream with the number First, or "lead", "follow", "down" and "up".
	Node, Do    string
	First       int
	Count       int
	AtMS        int64
	Known, Read bool
}

var errDown = errors.New("the store does not respond")

// Guards against streams that nobody can take up after all nodes have ended at the same time.
var _ = ginkgo.Describe("archived origins of streams", func() {
	var scripts []struct {
		Name  string
		Steps []archiveStep
		// Rows is the number of rows of the store at the end, Reads that of its reads; MaxRowBytes bounds each row.
		Rows, Reads, MaxRowBytes int
	}
	gomega.Expect(casereader.Read("testdata/archives.json", &scripts)).To(gomega.Succeed())
	for _, s := range scripts {
		ginkgo.It(s.Name, func() {
			rows, reads, down := map[string]string{}, 0, false
			leads := map[string]bool{}
			nodes := map[string]*Archiver{}
			for _, step := range s.Steps {
				if _, started := nodes[step.Node]; !started {
					nodes[step.Node] = New(Dependencies{
						Zone: "z", Count: func(string) {}, Leading: func() bool { return leads[step.Node] },
						Rows: Rows{
							Put: func(_ time.Time, key, value string) error {
								if down {
									return errDown
								}
								rows[key] = value
								return nil
							},
							List: func(time.Time) ([]string, error) {
								if reads++; down {
									return nil, errDown
								}
								return slices.Collect(maps.Values(rows)), nil
							},
						},
					})
				}
				node := nodes[step.Node]
				switch step.Do {
				case "add":
					node.Add(newStreams(step.First, step.Count))
				case "write":
					node.write(time.UnixMilli(step.AtMS))
				case "find":
					origin, known, read := node.Find(newStreams(step.First, 1)[0].Attempt)
					gomega.Expect([]bool{known, read}).To(gomega.Equal([]bool{step.Known, step.Read}), "stream %d is known, the store was read", step.First)
					if known {
						gomega.Expect(origin).To(gomega.Equal(newStreams(step.First, 1)[0].Origin))
					}
				case "lead", "follow":
					leads[step.Node] = step.Do == "lead"
				case "down", "up":
					down = step.Do == "down"
				default:
					ginkgo.Fail(fmt.Sprintf("step %q does not exist", step.Do))
				}
			}
			gomega.Expect(rows).To(gomega.HaveLen(s.Rows))
			gomega.Expect(reads).To(gomega.Equal(s.Reads))
			for key, value := range rows {
				gomega.Expect(len(value)).To(gomega.BeNumerically("<=", s.MaxRowBytes), "row %s", key)
			}
		})
	}
})

// newStreams returns streams of a service with two versions; the even ones began at v2.
func newStreams(first, count int) []streamkeeper.Stream {
	var streams []streamkeeper.Stream
	for i := first; i < first+count; i++ {
		software := "v1"
		if i%2 == 0 {
			software = "v2"
		}
		streams = append(streams, streamkeeper.Stream{Attempt: streamkeeper.Hash(fmt.Sprint(i)), Origin: streamkeeper.Origin{Service: "s", Software: software}})
	}
	return streams
}
