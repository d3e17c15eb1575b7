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
	// stream with the number First, or "lead", "follow", "down", "up", "several" and "single", which say how many software versions serve; several at first.
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
			rows, reads, down, several := map[string]string{}, 0, false, true
			leads := map[string]bool{}
			nodes := map[string]*Archiver{}
			for _, step := range s.Steps {
				if _, started := nodes[step.Node]; !started {
					nodes[step.Node] = New(Dependencies{
						Zone: "z", Count: func(string) {}, Leading: func() bool { return leads[step.Node] }, Archived: func(string) bool { return several },
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
					node.Add(time.UnixMilli(step.AtMS), newStreams(step.First, step.Count))
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
				case "several", "single":
					several = step.Do == "several"
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

// Guards against calls to the store and rows that grow with the number of hosts.
var _ = ginkgo.Describe("archived origins of many hosts", func() {
	var fleets []struct {
		Hosts, Zones int
		// StreamsPerS begin at each host, for Seconds.
		StreamsPerS, Seconds int
		// MaxWritesPerS and MaxRows bound the writes and the rows of all hosts together.
		MaxWritesPerS float64
		MaxRows       int
	}
	gomega.Expect(casereader.Read("testdata/fleets.json", &fleets)).To(gomega.Succeed())
	for _, f := range fleets {
		ginkgo.It(fmt.Sprintf("need writes by zone only, at %d hosts", f.Hosts), func() {
			rows, writes := map[string]string{}, 0
			dependencies := Dependencies{Count: func(string) {}, Leading: func() bool { return true }, Archived: func(string) bool { return true }, Rows: Rows{
				Put: func(_ time.Time, key, value string) error {
					writes++
					rows[key] = value
					return nil
				},
				List: func(time.Time) ([]string, error) { return slices.Collect(maps.Values(rows)), nil },
			}}
			leaders := make([]*Archiver, f.Zones)
			for zone := range leaders {
				dependencies.Zone = fmt.Sprintf("z%d", zone)
				leaders[zone] = New(dependencies)
			}
			began, added := time.UnixMilli(0), 0
			ticks := int(time.Duration(f.Seconds) * time.Second / writeInterval)
			for tick := range ticks {
				perTick := f.StreamsPerS * int(writeInterval.Milliseconds()) / 1000
				for host := range f.Hosts {
					leaders[host%f.Zones].Add(began.Add(time.Duration(tick)*writeInterval), newStreams(added, perTick))
					added += perTick
				}
				for _, leader := range leaders {
					leader.write(began.Add(time.Duration(tick) * writeInterval))
				}
			}
			gomega.Expect(float64(writes) / float64(f.Seconds)).To(gomega.BeNumerically("<=", f.MaxWritesPerS))
			gomega.Expect(len(rows)).To(gomega.BeNumerically("<=", f.MaxRows))
			recent := f.StreamsPerS * f.Hosts * 13 // Those of a caller's longest time budget, in seconds.
			started := New(dependencies)
			for stream := added - recent; stream < added; stream += 997 {
				_, known, _ := started.Find(newStreams(stream, 1)[0].Attempt)
				gomega.Expect(known).To(gomega.BeTrue(), "stream %d of %d", stream, added)
			}
		})
	}
})
