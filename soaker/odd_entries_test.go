package soaker

import (
	"fmt"
	"strings"

	"github.com/onsi/ginkgo/v2"
	"github.com/samber/lo"

	"github.com/acaciaproxy/acaciaproxy/platform/fleetstandin"
)

// Guards against nodes that end, or stop following the list of workers, because of one entry that no worker wrote.
var _ = ginkgo.Describe("nodes that read odd entries of other writers among those of the workers", func() {
	ginkgo.It("go on and follow the list, also when they start", func() {
		limitsAndEntries.expectKept("testdata/odd_entries.json")
	})
})

// oddTexts are values of entries that name no worker: nested deeply, with numbers too large, and with addresses at which no worker can be.
func oddTexts() []string {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	entry := func(address, slots, more string) string {
		return fmt.Sprintf(`{"service":"models","address":%q,"zone":"a","version":"v1","slots":%s,"state":"ready","seq":1%s}`, address, slots, more)
	}
	return []string{
		nested, entry("127.0.0.1:9", "8", `,"new":`+nested), entry("127.0.0.1:9", nested, ""), strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		entry("127.0.0.1:9", "1e999", ""), entry("127.0.0.1:9", "9223372036854775807", ""), entry("127.0.0.1:9", "99999999999999999999", ""), entry("127.0.0.1:9", "8", `,"born":1e400`),
		entry("127.0.0.1:65536", "8", ""), entry("127.0.0.1:99999999999", "8", ""), entry("127.0.0.1:-1", "8", ""), entry("127.0.0.1:0", "8", ""), entry("[::1%1]:9", "8", ""),
		"", "null", "\x00\xff", `"ready"`,
	}
}

// putOddEntries writes odd entries, whose IDs sort before and after those of the workers.
func (p *player) putOddEntries() {
	p.odd = true
	for i, text := range oddTexts() {
		fleetstandin.PutEntry(p.environment.store, fmt.Sprintf("%s-odd-%d", lo.Ternary(i%2 == 0, "a", "z"), i), text)
	}
}
