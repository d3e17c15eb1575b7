package rawpeer

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Crowd is a number of callers that each write the same bytes over a connection of their own, read nothing and stay connected.
type Crowd struct {
	// Callers is the number of connections.
	Callers int
	// Head is written first; NUMBER in it is replaced by the number of the caller. As many short header lines as Lines says follow, each with another
	// name.
	Head  string
	Lines int
	// Filler is written again and again after that, Bytes bytes altogether. With Chunk, it is written in chunks of that many bytes.
	Filler       string
	Bytes, Chunk int
	// End is written last.
	End string
}

// Play lets the callers of the crowd write to an address, and closes their connections at the end. A caller whose connection fails stops early.
func (c Crowd) Play(address string, end time.Time) {
	var callers sync.WaitGroup
	text := c.body()
	for number := range c.Callers {
		callers.Go(func() {
			connection, err := net.DialTimeout("tcp", address, time.Until(end))
			if err != nil {
				return // The node refuses connections.
			}
			defer func() { _ = connection.Close() }()
			_ = connection.SetDeadline(end) // Fails only on a closed connection.
			if _, err := fmt.Fprint(connection, strings.ReplaceAll(c.Head, "NUMBER", strconv.Itoa(number))); err != nil {
				return
			}
			if _, err := connection.Write(text); err != nil {
				return
			}
			time.Sleep(time.Until(end))
		})
	}
	callers.Wait()
}

// Text returns what the first caller writes.
func (c Crowd) Text() []byte {
	return append([]byte(strings.ReplaceAll(c.Head, "NUMBER", "0")), c.body()...)
}

// body returns what each caller writes after the head.
func (c Crowd) body() []byte {
	var text []byte
	for i := range c.Lines {
		text = append(append(text, strconv.FormatInt(int64(i), 36)...), ":\r\n"...)
	}
	for left := c.Bytes; left > 0; {
		size := left
		if c.Chunk > 0 {
			size = min(left, c.Chunk)
			text = fmt.Appendf(text, "%x\r\n", size)
		}
		text = append(text, strings.Repeat(c.Filler, size/len(c.Filler)+1)[:size]...)
		if c.Chunk > 0 {
			text = append(text, "\r\n"...)
		}
		left -= size
	}
	return append(text, c.End...)
}
