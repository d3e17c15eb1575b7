package connlimiter

import (
	"container/list"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// stallTime is how long a holding must not have grown before it may be ended in favour of others. It is longer than a lost packet takes to be
	// sent again.
	stallTime = 500 * time.Millisecond
	// spaceWait bounds the wait for space that others return.
	spaceWait = time.Second
	// spaceRetryMS is the delay after which a request that found no space may be sent again: all holdings that stall now can have been ended by then.
	spaceRetryMS = 1000
	// freeBodyBytes of each body need no space of the account.
	freeBodyBytes = 4 << 10
)

// FullError reports that an account has no space left for a request, which was not read whole.
type FullError struct {
	// account is the name of the account, wanted the number of bytes that were needed.
	account string
	wanted  int64
}

// Error names the account and the bytes.
func (e *FullError) Error() string {
	return fmt.Sprintf("no space for %d bytes more among the %s of all callers", e.wanted, e.account)
}

// RetryMS returns the delay in milliseconds after which there should be space.
func (e *FullError) RetryMS() int64 { return spaceRetryMS }

// StalledError reports that a holding was ended because it did not grow while others needed its space.
type StalledError struct {
	// account is the name of the account.
	account string
}

// Error names the account.
func (e *StalledError) Error() string {
	return fmt.Sprintf("ended without progress while others needed the space of the %s", e.account)
}

// LargeError reports that a body is larger than its limit.
type LargeError struct {
	// limit is in bytes.
	limit int
}

// Error names the limit.
func (e *LargeError) Error() string { return fmt.Sprintf("body has more than %d bytes", e.limit) }

// Account is a number of bytes that all connections share. It is safe for concurrent use.
type Account struct {
	// name is what is held, for errors and metrics; size is the number of bytes.
	name string
	size int64
	// count counts an event by its name.
	count func(name string)
	// mu guards everything below, and the fields of the holdings.
	mu    sync.Mutex
	taken int64
	// growing holds the holdings that may grow, as *Holding, those that have not grown for the longest time first.
	growing *list.List
	// freed is closed, and then nil, when space is returned; nil while nobody waits for it.
	freed chan struct{}
}

func newAccount(name string, size int64, count func(string)) *Account {
	return &Account{name: name, size: size, count: count, growing: list.New()}
}

// Taken returns the number of bytes that are taken.
func (a *Account) Taken() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.taken
}

// Holding is the part of an account that one request has. One goroutine uses it at a time.
type Holding struct {
	account *Account
	// stop ends the read that the holding grows by; it is called with the account's lock held.
	stop func()
	// listener is that of the connection which takes the space, or nil if a handler of the callers' requests takes it.
	listener *Listener
	// The fields below are guarded by the account's lock. place is that in account.growing, or nil.
	taken   int64
	place   *list.Element
	grownAt time.Time
	stalled bool
	// returns is set if the account itself returns the space beyond kept when it ends the holding.
	returns bool
	kept    int64
}

// Hold returns a holding of nothing. Stop is called, at most once and only while the holding may grow, when the holding is ended in favour of others;
// it must not block.
func (a *Account) Hold(stop func()) *Holding { return &Holding{account: a, stop: stop} }

// Grow takes space until the holding has a size. It waits until the deadline, at most spaceWait, for space that others return. The error is a
// *FullError, or a *StalledError if the holding was ended; the holding does not change then.
func (h *Holding) Grow(size int64, deadline time.Time) error {
	a := h.account
	var waitUntil time.Time
	for {
		now := time.Now()
		a.mu.Lock()
		if h.stalled {
			a.mu.Unlock()
			return &StalledError{account: a.name}
		}
		if size <= h.taken || a.taken+size-h.taken <= a.size {
			a.taken += max(size-h.taken, 0)
			h.taken = max(size, h.taken)
			h.grow(now)
			a.mu.Unlock()
			return nil
		}
		if waitUntil.IsZero() {
			waitUntil = now.Add(spaceWait)
			if !deadline.IsZero() && deadline.Before(waitUntil) {
				waitUntil = deadline
			}
		}
		if size > a.size || !now.Before(waitUntil) {
			a.mu.Unlock()
			a.count("callers refused for the " + a.name)
			return &FullError{account: a.name, wanted: size - h.taken}
		}
		wait := min(a.endStalled(now, h), waitUntil.Sub(now))
		if a.freed == nil {
			a.freed = make(chan struct{})
		}
		freed := a.freed
		a.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// grow records that the holding has grown. The account's lock is held.
func (h *Holding) grow(now time.Time) {
	h.grownAt = now
	if h.place == nil {
		h.place = h.account.growing.PushBack(h)
		return
	}
	h.account.growing.MoveToBack(h.place)
}

// endStalled ends the holding that has not grown for the longest time, unless it is the one that asks or has grown lately. It returns the time until
// another can be ended. The account's lock is held.
func (a *Account) endStalled(now time.Time, asking *Holding) time.Duration {
	for place := a.growing.Front(); place != nil; place = place.Next() {
		h := place.Value.(*Holding)
		if h == asking {
			continue
		}
		if left := h.grownAt.Add(stallTime).Sub(now); left > 0 {
			return left
		}
		a.end(place)
		return time.Millisecond // Its reader returns the space, or others are ended too.
	}
	return spaceWait
}

// end ends the holding at a place of growing. The account's lock is held.
func (a *Account) end(place *list.Element) {
	h := place.Value.(*Holding)
	a.growing.Remove(place)
	if h.returns {
		h.shrink(h.kept)
	}
	h.place, h.stalled = nil, true
	a.count("callers stalled among the " + a.name)
	h.stop()
}

// endBefore ends the holding of a listener that has not grown for the longest time, if it last grew before a time, because its connection is needed for
// another caller. It reports whether there was one, and whether the listener has any that may grow.
func (a *Account) endBefore(listener *Listener, before time.Time) (ended, any bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for place := a.growing.Front(); place != nil; place = place.Next() {
		h := place.Value.(*Holding)
		if h.listener != listener {
			continue
		}
		if !h.grownAt.Before(before) {
			return false, true
		}
		a.end(place)
		return true, true
	}
	return false, false
}

// Touch records progress that needs no more space.
func (h *Holding) Touch() {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.place != nil {
		h.grow(time.Now())
	}
}

// Keep ends the growth of the holding, which keeps its space. Stop is not called from then on. The error is a *StalledError if the holding was ended
// before.
func (h *Holding) Keep() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.place != nil {
		h.account.growing.Remove(h.place)
		h.place = nil
	}
	if h.stalled {
		return &StalledError{account: h.account.name}
	}
	return nil
}

// ReturnBeyond makes the account itself return the space beyond a size when it ends the holding, until the holding shrinks. It is for bytes that are
// not parsed yet and whose reader may not come back for long.
func (h *Holding) ReturnBeyond(size int64) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.returns, h.kept = true, size
}

// Shrink ends the growth of the holding and returns the space beyond a size. It may be called on a nil holding.
func (h *Holding) Shrink(size int64) {
	if h == nil {
		return
	}
	_ = h.Keep() // How it ended does not matter any more.
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.shrink(size)
}

// shrink returns the space beyond a size. The account's lock is held.
func (h *Holding) shrink(size int64) {
	a := h.account
	a.taken -= max(h.taken-size, 0)
	h.taken, h.stalled, h.returns = min(h.taken, size), false, false
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Release returns the space. It may be called again, and on a nil holding; the holding may be used again.
func (h *Holding) Release() {
	h.Shrink(0)
}

// ReadAll reads a body to its end, with its expected size or a negative number if that is not known. The error is a *LargeError, *FullError or
// *StalledError, or that of the body; the space is returned then. The caller releases the holding once it does not need the bytes any more.
func (h *Holding) ReadAll(body io.Reader, expected int64, limit int, deadline time.Time) ([]byte, error) {
	whole, err := h.readAll(body, expected, limit, deadline)
	if keepErr := h.Keep(); keepErr != nil && err != nil {
		err = keepErr // The read failed because the holding was ended.
	}
	if err != nil {
		h.Release()
		return nil, err
	}
	return whole, nil
}

func (h *Holding) readAll(body io.Reader, expected int64, limit int, deadline time.Time) ([]byte, error) {
	capacity := freeBodyBytes
	if expected >= 0 {
		capacity = int(min(expected+1, freeBodyBytes)) // One more, for the read that finds the end.
	}
	if err := h.Grow(0, deadline); err != nil { // From here on it can stall.
		return nil, err
	}
	whole, touched := make([]byte, 0, capacity), 0
	for {
		if len(whole) == cap(whole) {
			capacity = min(2*cap(whole), limit+1)
			if expected >= int64(len(whole)) {
				capacity = int(min(int64(capacity), expected+1))
			}
			if capacity <= len(whole) {
				return nil, &LargeError{limit: limit}
			}
			if err := h.Grow(int64(capacity-freeBodyBytes), deadline); err != nil {
				return nil, err
			}
			whole, touched = append(make([]byte, 0, capacity), whole...), len(whole)
		}
		n, err := body.Read(whole[len(whole):cap(whole)])
		whole = whole[:len(whole)+n]
		if len(whole) > limit {
			return nil, &LargeError{limit: limit}
		}
		if err == io.EOF {
			return whole, nil
		}
		if err != nil {
			return nil, err
		}
		if len(whole)-touched >= freeBodyBytes {
			touched = len(whole)
			h.Touch()
		}
	}
}
