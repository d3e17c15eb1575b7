package rawpeer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
)

// NewScriptedWorker starts a worker that answers the requests on its connections by scripts: that on each connection by the script at its place,
// later ones by the last script. A script holds a response for each request, as bytes of HTTP; the last one is for all later requests. In it, {id}
// stands for the request's ID and {first} for that of the first request on the connection.
func NewScriptedWorker(scripts [][]string) (*Worker, error) {
	var connections atomic.Int64
	return newWorker(func(connection net.Conn) {
		script := scripts[min(int(connections.Add(1)), len(scripts))-1]
		first := ""
		reader := bufio.NewReader(connection)
		for i := 0; ; i++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return // The client closed the connection.
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return // The client has left.
			}
			id := request.Header.Get("X-Request-Id")
			if i == 0 {
				first = id
			}
			response := strings.NewReplacer("{id}", id, "{first}", first).Replace(script[min(i, len(script)-1)])
			if _, err := io.WriteString(connection, response); err != nil {
				return // The client has left.
			}
		}
	})
}
