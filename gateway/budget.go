package gateway

import "sync"

// Limits of the retry budget.
const (
	// retryShare is how many retries each request earns.
	retryShare = 0.2
	// maxBudget is how many retries can be saved up.
	maxBudget = 100.0
)

// retryBudget keeps retries to a share of the requests, so that a failing
// zone is not flooded. Its zero value has a full budget.
type retryBudget struct {
	mu sync.Mutex
	// spent is how much of maxBudget is used up, from 0 to maxBudget.
	spent float64
}

// earn counts a new request.
func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(b.spent-retryShare, 0)
}

// spend reports whether one more retry is within the budget, and counts it.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > maxBudget {
		return false
	}
	b.spent++
	return true
}
