package soaker_test

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/casereader"
	"github.com/acaciaproxy/acaciaproxy/soaker"
)

// TestSeeds runs a short soak and every seed that has failed before, all concurrently.
// It is skipped unless the environment variable names the folder with the built programs.
func TestSeeds(t *testing.T) {
	programs := os.Getenv("ACACIA_PROCESS_TESTS")
	if programs == "" {
		t.Skip("ACACIA_PROCESS_TESTS does not name the folder with the programs")
	}
	gomega.RegisterTestingT(t)
	log.DefaultLogger.SetLevel(log.WarnLevel)
	var seeds []struct {
		Seed    uint64
		Seconds int
		Nodes   int
		// Cause is why the seed failed before, or its purpose.
		Cause string
	}
	gomega.Expect(casereader.Read("testdata/seeds.json", &seeds)).To(gomega.Succeed())
	folder := t.TempDir()
	reports := make([]*soaker.Report, len(seeds))
	errs := make([]error, len(seeds))
	var running sync.WaitGroup
	for i, seed := range seeds {
		running.Go(func() {
			reports[i], errs[i] = soaker.Run(soaker.Spec{
				Program: filepath.Join(programs, "acaciaproxy"), OutputFolder: folder, Seed: seed.Seed, Until: time.Now().Add(time.Duration(seed.Seconds) * time.Second), Nodes: seed.Nodes,
			})
		})
	}
	running.Wait()
	for i := range seeds {
		gomega.Expect(errs[i]).NotTo(gomega.HaveOccurred())
		t.Log(reports[i])
		if len(reports[i].Breaches) > 0 {
			t.Errorf("a guarantee was breached: %s", reports[i])
		}
	}
}
