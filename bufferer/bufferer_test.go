package bufferer_test

import (
	"errors"
	"testing"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// TestSpace plays scripts of responses that share one space.
func TestSpace(t *testing.T) {
	var scripts []struct {
		Name string
		// SpaceKB is the size of the space; without it, a space has its usual one.
		SpaceKB int64
		// MemoryKB is the memory of the host, 0 if it is not known.
		MemoryKB int64
		Steps    []struct {
			// Response is the index of a response, KB its new size; it is released if KB is 0.
			Response, KB int
			// Fails is whether the size must not fit.
			Fails bool
		}
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/space.json", &scripts)).To(gomega.Succeed())
	for _, script := range scripts {
		t.Run(script.Name, func(t *testing.T) {
			g, space := gomega.NewWithT(t), bufferer.New(script.SpaceKB<<10)
			space.Limit(script.MemoryKB << 10)
			held := map[int]*bufferer.Holding{}
			for i, step := range script.Steps {
				if held[step.Response] == nil {
					held[step.Response] = space.Hold()
				}
				if step.KB == 0 {
					held[step.Response].Release()
					continue
				}
				var oversized *bufferer.OversizedError
				g.Expect(errors.As(held[step.Response].Grow(step.KB<<10, bufferer.MaxResponseBytes), &oversized)).To(gomega.Equal(step.Fails), "step %d", i)
			}
		})
	}
}
