package peer

import "sync"

// minMessageBytes is the minimum that a message counts against a budget. Messages that do not
// report their size count exactly this much.
const minMessageBytes = 64

// sizer is implemented by messages that report their approximate size in bytes.
type sizer interface{ Bytes() int }

// bytesOf returns the approximate size of a message in bytes. The size of a message must not change
// while it is queued, because the same amount is released later.
func bytesOf(message any) int {
	if sized, ok := message.(sizer); ok {
		return max(minMessageBytes, sized.Bytes())
	}
	return minMessageBytes
}

// Budget bounds the total bytes of the messages that several connections hold. It keeps the memory
// of a process bounded by its budgets and its state, however slow its peers are. A message larger
// than the whole budget is admitted when nothing else is held. A nil budget is unbounded.
type Budget struct {
	limit int

	mu       sync.Mutex
	released *sync.Cond
	used     int
	closed   bool
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int) *Budget {
	b := &Budget{limit: limit}
	b.released = sync.NewCond(&b.mu)
	return b
}

// fits reports whether the bytes are available. The caller holds the lock.
func (b *Budget) fits(bytes int) bool { return b.used == 0 || b.used+bytes <= b.limit }

// TryAcquire acquires the bytes if they are available and reports whether it did.
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

// Acquire blocks until the bytes are available and acquires them. It returns false if the budget
// was closed.
func (b *Budget) Acquire(bytes int) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for !b.closed && !b.fits(bytes) {
		b.released.Wait()
	}
	if !b.closed {
		b.used += bytes
	}
	return !b.closed
}

// Release returns acquired bytes to the budget.
func (b *Budget) Release(bytes int) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.used -= bytes
	b.mu.Unlock()
	b.released.Broadcast()
}

// Used returns the number of acquired bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Close unblocks all waiting calls of Acquire.
func (b *Budget) Close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	b.released.Broadcast()
}
