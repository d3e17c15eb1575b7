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

// update rewrites the expected outputs instead of comparing with them.
var update = flag.Bool("update", false, "rewrite the expected outputs of the cases")

func TestCommander(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "commander")
}

// Each folder cases/VERB/NAME holds cmd (one command line) and expected (its
// output, its errors and its exit code). A case is added by dropping in files.
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

// runCase runs the command of a case at the module's root.
func runCase(path string) string {
	command, err := os.ReadFile(path)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	words := strings.Fields(string(command))
	var out, errors bytes.Buffer
	folder, err := os.Getwd()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Expect(os.Chdir("..")).To(gomega.Succeed())
	defer func() { gomega.Expect(os.Chdir(folder)).To(gomega.Succeed()) }()
	code := Main(words[1:], &out, &errors)
	return fmt.Sprintf("%s--- errors\n%s--- exit %d\n", out.String(), errors.String(), code)
}
