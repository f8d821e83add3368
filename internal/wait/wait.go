// Package wait provides a sleep that a context can interrupt.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if the context ended first.
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
