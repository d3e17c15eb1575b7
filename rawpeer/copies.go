package rawpeer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
)

// NewCopyingWorker starts a worker that writes what answer returns, as bytes of HTTP, to each request. On a connection that it has used before, a copy of the
// previous response there comes first, where the response to the request is due.
func NewCopyingWorker(answer func(request *http.Request) string) (*Worker, error) {
	return newWorker(func(connection net.Conn) {
		previous := ""
		for reader := bufio.NewReader(connection); ; {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return // The client closed the connection.
			}
			response := answer(request)
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				return // The client has left.
			}
			if _, err := fmt.Fprint(connection, previous, response); err != nil {
				return // The client has left.
			}
			previous = response
		}
	})
}
