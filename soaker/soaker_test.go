package soaker_test

import (
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/acaciaproxy/acaciaproxy/scripter"
	"github.com/acaciaproxy/acaciaproxy/soaker"
)

// TestSeeds plays a short run and every seed that ever failed, beside each other.
// It needs the programs, as all tests over processes do.
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
		// Cause is why the seed failed once, or what else it is for.
		Cause string
	}
	gomega.Expect(scripter.Read("testdata/seeds.json", &seeds)).To(gomega.Succeed())
	folder := t.TempDir()
	reports := make([]*soaker.Report, len(seeds))
	errs := make([]error, len(seeds))
	var all sync.WaitGroup
	for i, seed := range seeds {
		all.Go(func() {
			reports[i], errs[i] = soaker.Run(soaker.Spec{
				Program: filepath.Join(programs, "acaciaproxy"), Folder: folder, Seed: seed.Seed, Until: time.Now().Add(time.Duration(seed.Seconds) * time.Second), Nodes: seed.Nodes,
			})
		})
	}
	all.Wait()
	for i := range seeds {
		gomega.Expect(errs[i]).NotTo(gomega.HaveOccurred())
		t.Log(reports[i])
		if len(reports[i].Broken) > 0 {
			t.Errorf("a promise was broken: %s", reports[i])
		}
	}
}
