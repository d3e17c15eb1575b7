package forwarder

import (
	"io"
	"net/http"
	"time"

	"github.com/phuslu/log"
)

// Limits for keeping a connection after an early response, one that was sent before the request's body had arrived. The connection is closed
// if the body is larger or takes longer.
const (
	maxDroppedBody  = 64 << 10
	dropBodyTimeout = 2 * time.Second
)

// prepareEarlyResponse lets a response be sent before the request's body has arrived, and announces the close of the connection unless
// dropBody can read the rest of the body.
func prepareEarlyResponse(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength < 0 || r.ContentLength > maxDroppedBody || r.Header.Get("Expect") != "" {
		w.Header().Set("Connection", "close")
		return
	}
	if err := http.NewResponseController(w).EnableFullDuplex(); err != nil {
		log.Warn().Err(err).Msg("response waits for the request's body")
	}
}

// dropBody sends an early response and then reads the rest of the request's body, so that the connection can be kept. If the body does not
// arrive in time, it closes the connection.
func dropBody(w http.ResponseWriter, r *http.Request) {
	if w.Header().Get("Connection") == "close" {
		return
	}
	controller := http.NewResponseController(w)
	err := controller.Flush()
	if err == nil {
		err = controller.SetReadDeadline(time.Now().Add(dropBodyTimeout))
	}
	if err == nil {
		_, err = io.Copy(io.Discard, r.Body)
	}
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	if err != nil {
		log.Debug().Err(err).Msg("connection closed: the request's body did not arrive after an early response")
		panic(http.ErrAbortHandler) // What still arrives must not be read as another request.
	}
}
