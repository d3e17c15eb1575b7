package gateway

import "sync"

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.2
	// maxBalance is the largest number of retries that the budget holds.
	maxBalance = 100.0
)

// retryBudget limits retries to a fraction of the requests, so that retries do
// not overload a failing zone. Its zero value is a full budget.
type retryBudget struct {
	// mu guards withdrawn.
	mu sync.Mutex
	// withdrawn is the number of retries by which the budget is below maxBalance, from 0 to maxBalance.
	withdrawn float64
}

// deposit adds the retries that a new request allows.
func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.withdrawn = max(b.withdrawn-retriesPerRequest, 0)
}

// withdraw takes one retry from the budget; it returns false when none is left.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.withdrawn+1 > maxBalance {
		return false
	}
	b.withdrawn++
	return true
}
