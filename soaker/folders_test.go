package soaker

import (
	"os"
	"testing"

	"github.com/onsi/gomega"
)

// suiteFolder holds the settings and logs of all specs.
var suiteFolder string

// FolderKeptOnFailure returns a new folder for settings and logs, which is removed at the end of the test unless that has failed.
func FolderKeptOnFailure(t *testing.T) string {
	folder, err := os.MkdirTemp("", "soak-logs-")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs are kept in %s", folder)
			return
		}
		if err := os.RemoveAll(folder); err != nil {
			t.Logf("settings and logs not removed: %v", err)
		}
	})
	return folder
}

// newSpecFolder returns a new folder below suiteFolder.
func newSpecFolder() string {
	folder, err := os.MkdirTemp(suiteFolder, "")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return folder
}
