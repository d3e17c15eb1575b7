// Package bufferer bounds the memory that a node's responses take while they are held: each may hold a little, and what is above that
// comes out of a space that all share.
package bufferer

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
)

// Bounds of the parts of responses that are held in memory.
const (
	// MaxResponseBytes is the most that is held of a whole response that is not a stream, MaxEventBytes of an incomplete event of a stream.
	MaxResponseBytes = 8 << 20
	MaxEventBytes    = 1 << 20
	// freeBytes of each response may always be held; what is above that comes out of sharedBytes, which all responses share.
	freeBytes   = 64 << 10
	sharedBytes = 12 << 20
	// readBytes is the least size of one read of a body.
	readBytes = 4 << 10
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

// Space is the space that responses of one node share. Its zero value is empty and has sharedBytes. It is safe for concurrent use.
type Space struct {
	// taken is at most the size of the space, but for the moment of a failed Grow.
	taken atomic.Int64
	// size replaces sharedBytes unless it is 0.
	size int64
}

// New returns an empty space of a size in bytes; 0 means sharedBytes.
func New(size int64) *Space { return &Space{size: size} }

// Hold returns a holding of nothing.
func (s *Space) Hold() *Holding { return &Holding{space: s} }

// Holding is what one response holds. It is not safe for concurrent use.
type Holding struct {
	space *Space
	// taken is this response's part of space.taken.
	taken int64
}

// Grow takes the space for a size, or less if the size is smaller than before. The error is an *OversizedError; nothing changes then.
func (h *Holding) Grow(size, limit int) error {
	wanted := max(int64(size)-freeBytes, 0)
	if size > limit {
		return &OversizedError{bytes: size, limit: limit}
	}
	if h.space.taken.Add(wanted-h.taken) > cmp.Or(h.space.size, sharedBytes) && wanted > h.taken {
		h.space.taken.Add(h.taken - wanted)
		return &OversizedError{bytes: size, limit: limit}
	}
	h.taken = wanted
	return nil
}

// Release gives the space back. The holding may be used again.
func (h *Holding) Release() {
	h.space.taken.Add(-h.taken)
	h.taken = 0
}

// ReadAll reads a body to its end, of at most limit bytes. Its error is an *OversizedError or that of the body. The caller releases the holding
// once it does not need the bytes any more.
func (h *Holding) ReadAll(body io.Reader, limit int) ([]byte, error) {
	var whole []byte
	for {
		whole = slices.Grow(whole, readBytes)
		n, err := body.Read(whole[len(whole):cap(whole)])
		if growErr := h.Grow(len(whole)+n, limit); growErr != nil {
			return nil, growErr
		}
		whole = whole[:len(whole)+n]
		if err == io.EOF {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
