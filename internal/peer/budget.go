package peer

import "sync"

// leastBytes is the least that a message counts, also one that does not say its size.
const leastBytes = 64

// sized is a message that knows about how many bytes it holds.
type sized interface{ Bytes() int }

// bytesOf returns about how many bytes a message holds. It must not change while it waits.
func bytesOf(message any) int {
	if known, ok := message.(sized); ok {
		return max(leastBytes, known.Bytes())
	}
	return leastBytes
}

// Budget bounds the bytes that messages of several connections hold together. The memory of a
// process is bounded by its budgets and its state, however slow its peers are.
// One message larger than the whole budget passes alone. A nil budget is unbounded.
type Budget struct {
	limit int

	mu     sync.Mutex
	given  *sync.Cond
	used   int
	closed bool
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit}
	b.given = sync.NewCond(&b.mu)
	return b
}

// fits reports whether there is room. The caller holds the lock.
func (b *Budget) fits(bytes int) bool { return b.used == 0 || b.used+bytes <= b.limit }

// TryAcquire takes bytes if there is room.
func (b *Budget) TryAcquire(bytes int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.fits(bytes) {
		return false
	}
	b.used += bytes
	return true
}

// Acquire takes bytes once there is room. It reports false when the budget was closed.
func (b *Budget) Acquire(bytes int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && !b.fits(bytes) {
		b.given.Wait()
	}
	if !b.closed {
		b.used += bytes
	}
	return !b.closed
}

// Release returns bytes that were taken.
func (b *Budget) Release(bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.used -= bytes
	b.mu.Unlock()
	b.given.Broadcast()
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Close ends the wait of all that wait for room.
func (b *Budget) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.given.Broadcast()
}
