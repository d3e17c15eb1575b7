package connlimiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/acaciaproxy/acaciaproxy/connlimiter"
)

// BenchmarkRequest measures a request over a connection that is reused, with a plain listener and with a limited one.
func BenchmarkRequest(b *testing.B) {
	for name, limited := range map[string]bool{"plain": false, "limited": true} {
		b.Run(name, func(b *testing.B) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
			server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
			listener := inner
			if limited {
				server.ReadHeaderTimeout, server.IdleTimeout, server.ConnState = 0, 0, connlimiter.ObserveState
				limiter := connlimiter.New(connlimiter.Host{}, func() connlimiter.HeadLimits { return connlimiter.HeadLimits{} }, func(string) {})
				listener = limiter.Listen(inner, connlimiter.Port{Connections: 10, HTTP: true})
			}
			go func() { _ = server.Serve(listener) }() // Ends with Close.
			defer server.Close()
			connection, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer connection.Close()
			reader := bufio.NewReader(connection)
			request := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n" + strings.Repeat("X-Name: a value of a header\r\n", 12) +
				"\r\n" + strings.Repeat("x", 1000)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := fmt.Fprint(connection, request); err != nil {
					b.Fatal(err)
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
			}
		})
	}
}
