// Package wait pauses until a time has passed or a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports false when the context ended first.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
