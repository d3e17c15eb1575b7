package connlimiter

import (
	"bytes"
	"strconv"
)

const (
	// maxHeadLines bounds the lines of a head. A parsed line takes more than ten times its bytes if it is short, so that a limit of bytes alone does
	// not bound the memory.
	maxHeadLines = 512
	// maxEmptyLines bounds the empty lines before a request, which servers skip.
	maxEmptyLines = 16
	// maxTrailerLines bounds the lines after the last chunk of a body.
	maxTrailerLines = 64
	// maxChunkLineBytes bounds a line with a chunk's size and a line of a trailer.
	maxChunkLineBytes = 4 << 10
	// headTolerance is how far a head may exceed its limit, since callers count line ends differently.
	headTolerance = 1 << 10
	// noteBytes is how much of each line is kept to find the framing of the body.
	noteBytes = 64
)

// phase is the part of a request to which the next byte belongs.
type phase int

const (
	// phaseBetween is before the first byte of a request's line.
	phaseBetween phase = iota
	phaseHead
	// phaseFixed is in a body with a length, phaseChunk in the data of a chunk.
	phaseFixed
	phaseChunk
	// phaseChunkLine is in a line with a chunk's size, phaseChunkEnd in the line end after the data, phaseTrailer in the lines after the last chunk.
	phaseChunkLine
	phaseChunkEnd
	phaseTrailer
	// phaseUnknown is after a head whose framing the server decides on. It lasts until the server waits for the next request.
	phaseUnknown
)

// violation is why a request is refused; 0 stands for none, others are HTTP statuses.
type violation int

const (
	violationLarge     violation = 431
	violationMalformed violation = 400
)

// scanner follows the framing of HTTP/1 requests in the bytes of a connection. It only counts: a server parses the same bytes.
type scanner struct {
	phase phase
	// maxBytes is the limit of the current head.
	maxBytes int
	// bytes and lines are those of the current head or trailer, empties the empty lines before it.
	bytes, lines, empties int
	// lineBytes is the number of bytes of the current line without its end; note holds the first of them.
	lineBytes int
	note      [noteBytes]byte
	// left is the number of bytes left of a body with a length or of a chunk.
	left int64
	// length is the length of the body by its head, negative if it has none or is chunked.
	length int64
	// chunked and odd are set by the head: chunked if the body is, odd if the framing cannot be told for sure. Old is set for HTTP/1.0.
	chunked, odd, old bool
}

// scan follows bytes up to the end of the next head or, if none ends, to their end. It returns how many bytes it has followed, how many of these
// belong to a body, and whether they end with the end of a head.
func (s *scanner) scan(data []byte) (followed, body int, headEnds bool, v violation) {
	for followed < len(data) {
		rest := data[followed:]
		switch s.phase {
		case phaseFixed, phaseChunk:
			n := int(min(int64(len(rest)), s.left))
			s.left -= int64(n)
			followed, body = followed+n, body+n
			if s.left == 0 {
				s.endData()
			}
		case phaseUnknown:
			return len(data), body + len(rest), false, 0
		default:
			end := bytes.IndexByte(rest, '\n')
			line := rest
			if end >= 0 {
				line = rest[:end]
			}
			if v = s.followLine(line, end >= 0); v != 0 {
				return followed, body, false, v
			}
			followed += len(line)
			if end < 0 {
				return followed, body, false, 0
			}
			followed++
			wasHead := s.phase == phaseHead
			if v = s.endLine(); v != 0 {
				return followed, body, false, v
			}
			if wasHead && s.phase != phaseHead {
				return followed, body, true, 0
			}
		}
	}
	return followed, body, false, 0
}

// followLine follows a part of a line without its end; ends is set if the end follows.
func (s *scanner) followLine(part []byte, ends bool) violation {
	if ends && len(part) > 0 && part[len(part)-1] == '\r' {
		part = part[:len(part)-1]
		s.bytes++
	}
	if ends {
		s.bytes++
	}
	if s.phase == phaseBetween && len(part) > 0 && (len(part) > 1 || part[0] != '\r') {
		s.phase, s.bytes, s.lines = phaseHead, 0, 0
		s.chunked, s.odd, s.length = false, false, -1
	}
	if s.lineBytes < noteBytes {
		copy(s.note[s.lineBytes:], part)
	}
	s.lineBytes += len(part)
	s.bytes += len(part)
	switch {
	case s.phase == phaseHead && s.bytes > s.maxBytes+headTolerance:
		return violationLarge
	case s.phase != phaseHead && s.lineBytes > maxChunkLineBytes:
		return violationMalformed
	}
	return 0
}

// endLine follows the end of a line.
func (s *scanner) endLine() violation {
	length := s.lineBytes
	note := bytes.TrimSuffix(s.note[:min(length, noteBytes)], []byte("\r")) // Its line feed came in a later read.
	s.lineBytes = 0
	empty := len(note) == 0
	switch s.phase {
	case phaseBetween:
		if s.empties++; s.empties > maxEmptyLines {
			return violationMalformed
		}
	case phaseHead:
		if s.lines++; s.lines > maxHeadLines+2 { // The request's line and the empty one are no header lines.
			return violationLarge
		}
		if empty {
			s.endHead()
		} else {
			s.noteLine(note, length > noteBytes)
		}
	case phaseChunkLine:
		return s.startChunk(note)
	case phaseChunkEnd:
		if !empty {
			return violationMalformed
		}
		s.phase = phaseChunkLine
	case phaseTrailer:
		if s.lines++; s.lines > maxTrailerLines {
			return violationMalformed
		}
		if empty {
			s.endRequest()
		}
	default: // The other phases have no lines.
	}
	return 0
}

// noteLine notes what a line of a head tells of the framing; cut is set if the line is longer than the note.
func (s *scanner) noteLine(note []byte, cut bool) {
	if s.lines == 1 {
		s.old = !cut && bytes.HasSuffix(note, []byte("HTTP/1.0"))
		return
	}
	name, value, found := bytes.Cut(note, []byte(":"))
	if !found {
		return
	}
	value = bytes.Trim(value, " \t")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseInt(string(value), 10, 63)
		if err != nil || length < 0 || cut || s.length >= 0 && s.length != length {
			s.odd = true
			return
		}
		s.length = length
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		s.odd = s.odd || cut || s.old || !bytes.EqualFold(value, []byte("chunked"))
		s.chunked = true
	}
}

// endHead begins the body by what the head told.
func (s *scanner) endHead() {
	switch {
	case s.odd:
		s.phase = phaseUnknown
	case s.chunked:
		s.phase, s.length = phaseChunkLine, -1
	case s.length > 0:
		s.phase, s.left = phaseFixed, s.length
	default:
		s.endRequest()
	}
}

// startChunk begins a chunk by its size line.
func (s *scanner) startChunk(note []byte) violation {
	size, _, _ := bytes.Cut(note, []byte(";"))
	number, err := strconv.ParseInt(string(bytes.TrimRight(size, " \t")), 16, 63)
	if err != nil || number < 0 {
		return violationMalformed
	}
	s.phase, s.left = phaseChunk, number
	if number == 0 {
		s.phase, s.lines, s.bytes = phaseTrailer, 0, 0
	}
	return 0
}

// endData ends the data of a body with a length or of a chunk.
func (s *scanner) endData() {
	if s.phase == phaseChunk {
		s.phase = phaseChunkEnd
		return
	}
	s.endRequest()
}

// endRequest ends a request; the next byte belongs to another.
func (s *scanner) endRequest() { s.phase, s.empties, s.lineBytes, s.bytes = phaseBetween, 0, 0, 0 }

// inBody reports whether the next byte belongs to a body.
func (s *scanner) inBody() bool { return s.phase != phaseBetween && s.phase != phaseHead }
