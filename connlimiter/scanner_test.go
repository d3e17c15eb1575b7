package connlimiter

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// drawRequest draws a request that net/http accepts, and the number of its lines.
func drawRequest(t *rapid.T) string {
	head := rapid.SampledFrom([]string{"GET", "POST", "HEAD"}).Draw(t, "method") + " /x HTTP/1.1\r\nHost: h\r\n"
	for i := range rapid.IntRange(0, 20).Draw(t, "lines") {
		head += fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("v", rapid.SampledFrom([]int{0, 1, 80, 5000}).Draw(t, "value")))
	}
	body := strings.Repeat("a:\r\n\r\n", rapid.IntRange(0, 300).Draw(t, "body"))
	switch rapid.IntRange(0, 2).Draw(t, "framing") {
	case 0:
		return head + "\r\n"
	case 1:
		name := rapid.SampledFrom([]string{"content-length", "Content-Length"}).Draw(t, "name")
		return head + fmt.Sprintf("%s:%s%d \r\n\r\n", name, strings.Repeat(" ", rapid.IntRange(0, 3).Draw(t, "space")), len(body)) + body
	}
	text := head + "transfer-encoding: Chunked\r\n\r\n"
	for len(body) > 0 {
		n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
		text += fmt.Sprintf("%x%s\r\n%s\r\n", n, rapid.SampledFrom([]string{"", ";a=b", " "}).Draw(t, "extension"), body[:n])
		body = body[n:]
	}
	return text + "0\r\n" + rapid.SampledFrom([]string{"", "T: x\r\n"}).Draw(t, "trailer") + "\r\n"
}

// TestScannerProperty guards against a scanner that takes a part of a body for a head or the reverse, however the bytes are split over reads: it must
// find as many heads and bytes of bodies as net/http.
func TestScannerProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.Custom(drawRequest), 1, 6).Draw(t, "requests"), "")
		reader, heads, bodies := bufio.NewReader(strings.NewReader(text)), 0, 0
		for {
			request, err := http.ReadRequest(reader)
			if err == io.EOF {
				break
			}
			if err != nil {
				t.Fatalf("net/http: %v", err)
			}
			heads++
			n, err := io.Copy(io.Discard, request.Body)
			if err != nil {
				t.Fatalf("net/http: body: %v", err)
			}
			bodies += int(n)
		}
		s := &scanner{maxBytes: 1 << 20}
		rest := []byte(text)
		foundHeads, foundBodies := 0, 0
		for len(rest) > 0 {
			part := rest[:rapid.IntRange(1, len(rest)).Draw(t, "read")]
			rest = rest[len(part):]
			for len(part) > 0 {
				n, body, headEnds, v := s.scan(part)
				if v != 0 {
					t.Fatalf("violation %d", v)
				}
				part, foundBodies = part[n:], foundBodies+body
				if headEnds {
					foundHeads++
				}
			}
		}
		if foundHeads != heads || foundBodies != bodies || s.phase != phaseBetween {
			t.Fatalf("%d heads, %d bytes of bodies, phase %d; net/http finds %d and %d", foundHeads, foundBodies, s.phase, heads, bodies)
		}
	})
}

// FuzzScanner guards against bytes at which the scanner does not advance or fails.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.0\r\nContent-Length: -1\r\n\r\n"), 7)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		s := &scanner{maxBytes: 1 << 10}
		for reader := bytes.NewReader(text); ; {
			part := make([]byte, max(1, size&63))
			n, err := reader.Read(part)
			if err != nil {
				return
			}
			for part = part[:n]; len(part) > 0; {
				followed, body, _, v := s.scan(part)
				if v != 0 {
					return
				}
				if followed <= 0 || body > followed {
					t.Fatalf("followed %d bytes of %d, %d of bodies", followed, len(part), body)
				}
				part = part[followed:]
			}
		}
	})
}
