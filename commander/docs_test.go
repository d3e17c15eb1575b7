package commander

import (
	"bytes"
	"os"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// pages show real output: each block between a marker with a command and the
// end of its code fence is what the command prints. With -update the blocks are
// written anew.
var pages = []string{"../docs/COMMANDS.md", "../docs/OPERATIONS.md"}

const (
	commandMarker = "<!-- acaciaproxy "
	markerEnd     = " -->\n"
	fence         = "```\n"
)

var _ = ginkgo.Describe("docs", func() {
	for _, path := range pages {
		ginkgo.It("show what the commands print: "+path, func() {
			page, err := os.ReadFile(path)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			fresh := regenerate(string(page))
			if *update {
				gomega.Expect(os.WriteFile(path, []byte(fresh), 0o644)).To(gomega.Succeed())
				return
			}
			gomega.Expect(fresh).To(gomega.Equal(string(page)))
		})
	}
})

// regenerate returns the page with the output of every marked command.
func regenerate(page string) string {
	var fresh strings.Builder
	parts := strings.Split(page, commandMarker)
	fresh.WriteString(parts[0])
	for _, part := range parts[1:] {
		command, rest, found := strings.Cut(part, markerEnd)
		gomega.Expect(found).To(gomega.BeTrue())
		_, rest, found = strings.Cut(rest, fence)
		gomega.Expect(found).To(gomega.BeTrue())
		_, rest, found = strings.Cut(rest, fence)
		gomega.Expect(found).To(gomega.BeTrue())
		var out bytes.Buffer
		gomega.Expect(Main(strings.Fields(command), &out, &out)).To(gomega.Equal(ExitDone), command)
		fresh.WriteString(commandMarker + command + markerEnd + fence + out.String() + fence + rest)
	}
	return fresh.String()
}
