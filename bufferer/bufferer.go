// Package bufferer bounds the memory that a node's responses take while they are held: each may hold a little, and what is above that
// comes out of two spaces that all share, one for the first part of each response and one for the rest.
package bufferer

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"sync/atomic"
)

// Bounds of the parts of responses that are held in memory.
const (
	// MaxResponseBytes is the most that is held of a whole response that is not a stream, MaxEventBytes of an incomplete event of a stream.
	MaxResponseBytes = 8 << 20
	MaxEventBytes    = 1 << 20
	// smallBytes of each response come out of the space of small responses; what is above that comes out of sharedBytes, which all responses share.
	smallBytes  = 64 << 10
	sharedBytes = 12 << 20
	// freeBytes of each response may always be held.
	freeBytes = 4 << 10
	// smallDivisor gives the part of a host's spare memory that small responses share. Without that bound, 700 responses of 60 KB took a node with 96 MB
	// to 119 MB. largeDivisor gives that of larger ones, which is at least leastShared, so that the largest response fits, and at most sharedBytes.
	smallDivisor = 8
	largeDivisor = 10
	leastShared  = 9 << 20
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

// Shared reports whether the response was within its own limit, so that only the space that all responses share did not suffice.
func (e *OversizedError) Shared() bool { return e.bytes <= e.limit }

// Space is the space that responses of one node share. Its zero value is empty and has sharedBytes. It is safe for concurrent use.
type Space struct {
	// taken is at most the size of the space, but for the moment of a failed Grow.
	taken atomic.Int64
	// size replaces sharedBytes unless it is 0.
	size int64
	// smallTaken is at most smallSize, but for the moment of a failed Grow; smallSize is 0 for no bound.
	smallTaken atomic.Int64
	smallSize  int64
}

// New returns an empty space of a size in bytes; 0 means sharedBytes.
func New(size int64) *Space { return &Space{size: size} }

// Limit bounds what responses hold together by a host's spare memory in bytes, or not if that is 0, which stands for not known. It must be
// called before the space is used.
func (s *Space) Limit(spare int64) {
	s.smallSize = spare / smallDivisor
	if spare > 0 && s.size == 0 {
		s.size = min(max(spare/largeDivisor, leastShared), sharedBytes)
	}
}

// Hold returns a holding of nothing.
func (s *Space) Hold() *Holding { return &Holding{space: s} }

// Holding is what one response holds. It is not safe for concurrent use.
type Holding struct {
	space *Space
	// taken and smallTaken are this response's parts of those of the space.
	taken, smallTaken int64
}

// Grow takes the space for a size, or less if the size is smaller than before. The error is an *OversizedError; nothing changes then.
func (h *Holding) Grow(size, limit int) error {
	wanted, wantedSmall := max(int64(size)-smallBytes, 0), max(min(int64(size), smallBytes)-freeBytes, 0)
	if size > limit {
		return &OversizedError{bytes: size, limit: limit}
	}
	if !take(&h.space.smallTaken, cmp.Or(h.space.smallSize, math.MaxInt64), h.smallTaken, wantedSmall) {
		return &OversizedError{bytes: size, limit: limit}
	}
	if !take(&h.space.taken, cmp.Or(h.space.size, sharedBytes), h.taken, wanted) {
		h.space.smallTaken.Add(h.smallTaken - wantedSmall)
		return &OversizedError{bytes: size, limit: limit}
	}
	h.taken, h.smallTaken = wanted, wantedSmall
	return nil
}

// take changes what a response has of a space from held to wanted. It reports false, and changes nothing, if that is more and does not fit.
func take(total *atomic.Int64, size, held, wanted int64) bool {
	if total.Add(wanted-held) > size && wanted > held {
		total.Add(held - wanted)
		return false
	}
	return true
}

// Release gives the space back. The holding may be used again.
func (h *Holding) Release() {
	h.space.taken.Add(-h.taken)
	h.space.smallTaken.Add(-h.smallTaken)
	h.taken, h.smallTaken = 0, 0
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
