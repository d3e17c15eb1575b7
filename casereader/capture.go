package casereader

import (
	"bytes"
	"os"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// activeCapture is the capture that receives the log lines, or nil. The logger itself is set only
// once and never changed, because goroutines of an earlier test may still use it.
var activeCapture atomic.Pointer[Capture]

// captureWriter writes lines to the active capture, or to standard error if there is none.
type captureWriter struct{}

// Write implements io.Writer.
func (captureWriter) Write(line []byte) (int, error) {
	if c := activeCapture.Load(); c != nil {
		return c.Write(line)
	}
	return os.Stderr.Write(line)
}

func init() {
	log.DefaultLogger = log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: captureWriter{}}}
}

// Capture collects the log lines of a test. It is safe for concurrent use.
type Capture struct {
	// mu guards text.
	mu   sync.Mutex
	text bytes.Buffer
}

// NewCapture returns a capture that receives all log lines of the process until its Close or the next call of NewCapture.
func NewCapture() *Capture {
	c := &Capture{}
	activeCapture.Store(c)
	return c
}

// Write appends a log line.
func (c *Capture) Write(line []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(line)
}

// Close stops the capture. Its lines can still be read.
func (c *Capture) Close() { activeCapture.CompareAndSwap(c, nil) }

// Missing returns the elements of wanted that no captured line matches. Each element is a
// list of texts separated by "|", and a line matches if it contains all of them, but none that begin with "!".
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

// hasLine reports whether one of the lines contains all parts, but none that begin with "!".
func hasLine(lines, parts []string) bool {
	for _, line := range lines {
		found := 0
		for _, part := range parts {
			absent, isAbsent := strings.CutPrefix(part, "!")
			if strings.Contains(line, absent) != isAbsent {
				found++
			}
		}
		if found == len(parts) {
			return true
		}
	}
	return false
}

// String returns all captured lines.
func (c *Capture) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.String()
}
