package settingsreader

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/acaciaproxy/acaciaproxy/casereader"
)

// TestZones guards against names of zones that contain the blanks after the commas, so that a tenant's allowance is divided among zones that do not
// exist.
func TestZones(t *testing.T) {
	var cases []struct {
		Text  string
		Zones []string
	}
	gomega.NewWithT(t).Expect(casereader.Read("testdata/zones.json", &cases)).To(gomega.Succeed())
	for _, test := range cases {
		t.Run(test.Text, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := fmt.Sprintf(`{"name": "n", "zone": "a", "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "nodes": "127.0.0.1:3",
				"platform": "127.0.0.1:4", "zones": %q}`, test.Text)
			settings, err := Parse("test", []byte(text))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(settings.Zones()).To(gomega.Equal(test.Zones))
		})
	}
}
