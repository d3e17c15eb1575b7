package rawpeer

import (
	"bytes"
	"net"
	"regexp"
	"strings"
	"time"
)

// Flood is a response without end.
type Flood struct {
	// Head is written first; "ID" in it stands for the ID of the caller's attempt. Filler is written again and again after it.
	Head, Filler string
	// Pause is the time between two writes; without one, each writes floodBytes.
	Pause time.Duration
}

// floodBytes is about the size of a write of a flood without pauses.
const floodBytes = 32 << 10

// attemptPattern finds the ID of the caller's attempt in a request.
var attemptPattern = regexp.MustCompile(`(?i)attempt-id: (\S+)`)

// NewFloodingWorker starts a worker on a free loopback port that answers every request with a flood until the client closes the connection.
func NewFloodingWorker(flood Flood) (*Worker, error) {
	filler := []byte(flood.Filler)
	if flood.Pause == 0 {
		filler = bytes.Repeat(filler, floodBytes/len(filler))
	}
	return newWorker(func(connection net.Conn) {
		request := make([]byte, floodBytes)
		count, err := connection.Read(request)
		if err != nil {
			return // The client closed the connection.
		}
		head := flood.Head
		if match := attemptPattern.FindSubmatch(request[:count]); match != nil {
			head = strings.ReplaceAll(head, "ID", string(match[1]))
		}
		_, err = connection.Write([]byte(head))
		for err == nil {
			_, err = connection.Write(filler)
			time.Sleep(flood.Pause)
		}
	})
}
