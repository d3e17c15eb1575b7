package commander

import (
	"bytes"
	"os"
	"slices"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

// pages are documents with output of commands: the code block after each marker
// comment must equal what the marker's command prints. With -update the blocks
// are rewritten. The word ADDRESS in a marker stands for the address of a node that gives recorded answers.
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
			updated := regenerate(string(page))
			if *update {
				gomega.Expect(os.WriteFile(path, []byte(updated), 0o644)).To(gomega.Succeed())
				return
			}
			gomega.Expect(updated).To(gomega.Equal(string(page)))
		})
	}
})

// regenerate returns the page with the output of every marked command.
func regenerate(page string) string {
	var updated strings.Builder
	parts := strings.Split(page, commandMarker)
	updated.WriteString(parts[0])
	for _, part := range parts[1:] {
		command, rest, found := strings.Cut(part, markerEnd)
		gomega.Expect(found).To(gomega.BeTrue())
		_, rest, found = strings.Cut(rest, fence)
		gomega.Expect(found).To(gomega.BeTrue())
		_, rest, found = strings.Cut(rest, fence)
		gomega.Expect(found).To(gomega.BeTrue())
		var output bytes.Buffer
		words := strings.Fields(command)
		if i := slices.Index(words, "ADDRESS"); i >= 0 {
			words[i] = startRecordedNode()
		}
		gomega.Expect(Main(words, &output, &output)).To(gomega.Equal(ExitSuccess), command)
		updated.WriteString(commandMarker + command + markerEnd + fence + output.String() + fence + rest)
	}
	return updated.String()
}
