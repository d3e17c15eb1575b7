package forwarder

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/acaciaproxy/acaciaproxy/logger"
	"github.com/acaciaproxy/acaciaproxy/registrar"
)

// Bounds of the parts of responses that are held in memory: whole responses that are not streams, and the incomplete event at the end of a stream.
const (
	maxResponseBytes = 8 << 20
	maxEventBytes    = 1 << 20
	// freeBytes of each response may always be held; what is above that comes out of sharedBytes, which all responses share.
	freeBytes   = 64 << 10
	sharedBytes = 12 << 20
)

// OversizedError reports that a worker sent more than is held of one response, or that too much is held of others.
type OversizedError struct {
	// bytes is the size that was reached, limit the largest allowed for one response.
	bytes, limit int
}

// Error names both sizes.
func (e *OversizedError) Error() string {
	return fmt.Sprintf("response or event of %d bytes or more cannot be held; %d are allowed, less while others take the space", e.bytes, e.limit)
}

// sharedSpace is the space that the responses of one node share. It is safe for concurrent use.
type sharedSpace struct {
	// taken is at most sharedBytes, but for the moment of a failed grow.
	taken atomic.Int64
}

// heldBytes is what one response holds.
type heldBytes struct {
	space *sharedSpace
	// taken is this response's part of space.taken.
	taken int64
}

// grow takes the space for a size, or less if the size is smaller than before. The error is an *OversizedError.
func (h *heldBytes) grow(size, limit int) error {
	wanted := max(int64(size)-freeBytes, 0)
	if size > limit || h.space.taken.Add(wanted-h.taken) > sharedBytes && wanted > h.taken {
		if size <= limit {
			h.space.taken.Add(h.taken - wanted)
		}
		return &OversizedError{bytes: size, limit: limit}
	}
	h.taken = wanted
	return nil
}

// release gives the space back.
func (h *heldBytes) release() {
	h.space.taken.Add(-h.taken)
	h.taken = 0
}

// readAll reads a body to its end. The caller releases held once it does not need the bytes any more.
func readAll(body io.Reader, held *heldBytes) ([]byte, error) {
	var whole []byte
	buffer := make([]byte, relayBufferBytes)
	for {
		n, err := body.Read(buffer)
		if growErr := held.grow(len(whole)+n, maxResponseBytes); growErr != nil {
			return nil, growErr
		}
		whole = append(whole, buffer[:n]...)
		if err == io.EOF {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

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
