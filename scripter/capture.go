package scripter

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// capturing is the capture that takes lines now, or nil. The logger itself is set once,
// since goroutines of an earlier test may still log.
var capturing atomic.Pointer[Capture]

// output passes lines to the present capture, or to standard error.
type output struct{}

// Write takes a line in.
func (output) Write(line []byte) (int, error) {
	if c := capturing.Load(); c != nil {
		return c.Write(line)
	}
	return os.Stderr.Write(line)
}

func init() {
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: output{}}}
}

// Capture holds the log lines of a test.
type Capture struct {
	// mu guards text.
	mu   sync.Mutex
	text bytes.Buffer
}

// NewCapture makes all log lines go to a new capture until Close is called.
func NewCapture() *Capture {
	c := &Capture{}
	capturing.Store(c)
	return c
}

// Write takes a line in.
func (c *Capture) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(line)
}

// Close ends the capture.
func (c *Capture) Close() { capturing.CompareAndSwap(c, nil) }

// Missing returns the wanted lines that did not come. A wanted line is a list of
// texts, separated by a bar, that one line must hold.
func (c *Capture) Missing(wanted []string) []string {
	c.mu.Lock()
	lines := strings.Split(c.text.String(), "\n")
	c.mu.Unlock()
	var missing []string
	for _, want := range wanted {
		if !hasLine(lines, strings.Split(want, "|")) {
			missing = append(missing, want)
		}
	}
	return missing
}

func hasLine(lines, parts []string) bool {
	for _, line := range lines {
		found := 0
		for _, part := range parts {
			if strings.Contains(line, part) {
				found++
			}
		}
		if found == len(parts) {
			return true
		}
	}
	return false
}

// String returns all lines.
func (c *Capture) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}
