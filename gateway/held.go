package gateway

import (
	"bytes"
	"io"

	"github.com/gofiber/fiber/v3"

	"github.com/acaciaproxy/acaciaproxy/bufferer"
)

// heldBody is a response's body that is held until it has been written to the caller.
type heldBody struct {
	holding *bufferer.Holding
	body    []byte
}

// read reads the body to its end, in place of what was read before.
func (h *heldBody) read(body io.Reader) (err error) {
	h.body, err = h.holding.ReadAll(body, bufferer.MaxResponseBytes)
	return err
}

// send makes the body that of the caller's response, which releases it once it has been written.
func (h *heldBody) send(c fiber.Ctx, status int) {
	c.Status(status).Response().SetBodyStream(&heldReader{Reader: bytes.NewReader(h.body), holding: h.holding}, len(h.body))
}

// heldReader reads a held body. The HTTP server closes it at its end or when the caller disconnects.
type heldReader struct {
	*bytes.Reader
	holding *bufferer.Holding
}

// Close implements io.Closer.
func (r *heldReader) Close() error {
	r.holding.Release()
	return nil
}
