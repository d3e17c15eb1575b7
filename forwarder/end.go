package forwarder

import (
	"io"
	"net/http"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// checkEnd returns an error if a worker's response that ended without a length may have broken off:
// it is empty though it reports success, or the worker's process has ended. With a length or in
// chunks, the body's own error tells.
func (f *Forwarder) checkEnd(c *call, worker *registrar.Worker, response *Response, empty bool) error {
	if !response.Unframed || c.Method == http.MethodHead {
		return nil
	}
	if empty && response.Succeeded() || f.dependencies.Crashed(worker) {
		logger.Info("response without a length broke off").Str("request", c.ID).Str("worker", worker.ID).Bool("empty", empty).
			Str("after_event", c.lastEventID).Msg("response without a length broke off")
		return io.ErrUnexpectedEOF
	}
	return nil
}
