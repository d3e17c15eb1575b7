package rawpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Crowd is a number of callers that each write the same bytes over a connection of their own, read nothing and stay connected.
type Crowd struct {
	// Callers is the number of connections.
	Callers int
	// Requests is how many requests each caller sends one after another, reading each response to its end, before it leaves; with 0, it writes one
	// request, reads nothing and stays connected.
	Requests int
	// Again lets a caller that stays connected read, once it has written, and begin anew over another connection when the node closes this one.
	Again bool
	// Head is written first; NUMBER in it is replaced by the number of the request, NAME by a name of NameBytes bytes that no other request has, and LENGTH
	// by the length of the body. As many short header lines as Lines says, and as many short fields of a JSON object as Fields says, follow,
	// each with another name.
	Head          string
	NameBytes     int
	Lines, Fields int
	// Filler is written again and again after that, Bytes bytes altogether. With Chunk, it is written in chunks of that many bytes.
	Filler       string
	Bytes, Chunk int
	// End is written last.
	End string
}

// againPause is the pause of a caller before it connects again.
const againPause = 5 * time.Millisecond

// Play lets the callers of the crowd write to an address, and closes their connections at the end. A caller whose connection fails stops early.
func (c Crowd) Play(address string, end time.Time) {
	var callers sync.WaitGroup
	text := c.body()
	for number := range c.Callers {
		if c.Requests > 0 {
			callers.Go(func() { c.request(address, number, text, end) })
			continue
		}
		callers.Go(func() {
			for c.stay(address, c.head(number, len(text)), text, end) && c.Again && time.Now().Before(end) {
				time.Sleep(againPause)
			}
		})
	}
	callers.Wait()
}

// stay writes a request and stays connected until the end or, with Again, until the node closes the connection. It reports whether it got a connection.
func (c Crowd) stay(address, head string, text []byte, end time.Time) bool {
	connection, err := net.DialTimeout("tcp", address, time.Until(end))
	if err != nil {
		return false // The node refuses connections.
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(end) // Fails only on a closed connection.
	if _, err := fmt.Fprint(connection, head); err != nil {
		return true
	}
	if _, err := connection.Write(text); err != nil {
		return true
	}
	if c.Again {
		_, _ = io.Copy(io.Discard, connection) // Whatever ends it, the caller begins anew.
		return true
	}
	time.Sleep(time.Until(end))
	return true
}

// Text returns what the first caller writes.
func (c Crowd) Text() []byte {
	text := c.body()
	return append([]byte(c.head(0, len(text))), text...)
}

// head returns the head of a request, which length bytes follow.
func (c Crowd) head(number, length int) string {
	head := strings.ReplaceAll(c.Head, "NUMBER", strconv.Itoa(number))
	if c.NameBytes > 0 {
		head = strings.ReplaceAll(head, "NAME", fmt.Sprintf("%0*x", c.NameBytes, number))
	}
	_, begun, _ := strings.Cut(head, "\r\n\r\n")
	return strings.Replace(head, "LENGTH", strconv.Itoa(len(begun)+length), 1)
}

// request sends the requests of one caller, over another connection whenever the node closes one.
func (c Crowd) request(address string, caller int, text []byte, end time.Time) {
	var connection net.Conn
	var reader *bufio.Reader
	for i := 0; i < c.Requests && time.Now().Before(end); i++ {
		if connection == nil {
			dialled, err := net.DialTimeout("tcp", address, time.Until(end))
			if err != nil {
				return // The node refuses connections.
			}
			_ = dialled.SetDeadline(end) // Fails only on a closed connection.
			connection, reader = dialled, bufio.NewReader(dialled)
		}
		if err := exchange(connection, reader, append([]byte(c.head(caller*c.Requests+i, len(text))), text...)); err != nil {
			_ = connection.Close()
			connection = nil
		}
	}
	if connection != nil {
		_ = connection.Close()
	}
}

// exchange writes a request and reads its response. The error is io.EOF if the node closes the connection after the response.
func exchange(connection net.Conn, reader *bufio.Reader, text []byte) error {
	if _, err := connection.Write(text); err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	if response.Close {
		return io.EOF
	}
	return nil
}

// body returns what each caller writes after the head.
func (c Crowd) body() []byte {
	var text []byte
	for i := range c.Lines {
		text = append(append(text, strconv.FormatInt(int64(i), 36)...), ":\r\n"...)
	}
	for i := range c.Fields {
		text = append(strconv.AppendInt(append(text, `"`...), int64(i), 36), `":1,`...)
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
