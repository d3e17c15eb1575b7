package prover

import (
	"sync"
	"time"
)

const (
	// suspicionTime is how long an address is suspected after a response from it that belonged to another exchange.
	suspicionTime = 10 * time.Second
	// maxSuspects bounds the memory; further addresses are not suspected.
	maxSuspects = 1024
)

// Suspects are the addresses of servers that write responses more than once. A request that meets such a response on a kept connection fails, though its own
// response is on its way, so suspected servers get no request over a kept connection. It is safe for concurrent use; the zero value has none.
type Suspects struct {
	// mu guards until.
	mu sync.Mutex
	// until maps addresses to the end of the suspicion; it has at most maxSuspects elements.
	until map[string]time.Time
}

// Add records that a response from an address belonged to another exchange. It returns false if too many addresses are suspected.
func (s *Suspects) Add(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	if _, suspected := s.until[address]; !suspected && len(s.until) >= maxSuspects {
		for other, until := range s.until {
			if !now.Before(until) {
				delete(s.until, other)
			}
		}
		if len(s.until) >= maxSuspects {
			return false
		}
	}
	s.until[address] = now.Add(suspicionTime)
	return true
}

// Suspected reports whether an address is suspected.
func (s *Suspects) Suspected(now time.Time, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, found := s.until[address]
	if found && !now.Before(until) {
		delete(s.until, address)
		return false
	}
	return found
}
