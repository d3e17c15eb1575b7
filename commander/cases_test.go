package commander

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// update makes the tests rewrite the expected outputs instead of comparing with them.
var update = flag.Bool("update", false, "rewrite the expected outputs of the cases")

func TestCommander(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "commander")
}

// Each folder cases/VERB/NAME holds two files: cmd, one command line, and
// expected, its standard output, standard error and exit code. A new folder is
// a new case; no code changes.
var _ = ginkgo.Describe("regression cases", func() {
	commands, err := filepath.Glob("../cases/*/*/cmd")
	if err != nil || len(commands) == 0 {
		panic(fmt.Sprintf("no cases found: %v", err))
	}
	for _, path := range commands {
		ginkgo.It(strings.TrimPrefix(filepath.Dir(path), "../cases/"), func() {
			got := runCase(path)
			expected := filepath.Join(filepath.Dir(path), "expected")
			if *update {
				gomega.Expect(os.WriteFile(expected, []byte(got), 0o644)).To(gomega.Succeed())
			}
			want, err := os.ReadFile(expected)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(got).To(gomega.Equal(string(want)))
		})
	}
})

// runCase runs the command of a case in the module's root folder and returns its
// output in the format of the file expected.
func runCase(path string) string {
	command, err := os.ReadFile(path)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	words := strings.Fields(string(command))
	var stdout, stderr bytes.Buffer
	folder, err := os.Getwd()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(os.Chdir("..")).To(gomega.Succeed())
	defer func() { gomega.Expect(os.Chdir(folder)).To(gomega.Succeed()) }()
	code := Main(words[1:], &stdout, &stderr)
	return fmt.Sprintf("%s--- errors\n%s--- exit %d\n", stdout.String(), stderr.String(), code)
}
