package gateway

import (
	"context"
	"sync"
	"time"
)

// lines are the requests that wait because the instances of their service have no room,
// by service. Whoever came first is tried first: without an order each waiting request
// would ask the instances again and again, and chance would decide which one gets the
// next free place. It is safe for concurrent use.
type lines struct {
	mu        sync.Mutex
	byService map[string][]*place
}

// place is one request's place in a line.
type place struct {
	service string
	// free is signalled when the request is first and a place at an instance may be free.
	free chan struct{}
	// failures counts the tries as the first that no instance took.
	failures int
}

// mostFailures is after how many tries the first request lets the next one come first:
// an instance may refuse a request for its size as if it were full.
const mostFailures = 8

func newLines() *lines { return &lines{byService: map[string][]*place{}} }

// empty reports whether nobody waits for a service.
func (l *lines) empty(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byService[service]) == 0
}

// join takes the last place of a service's line.
func (l *lines) join(service string) *place {
	joined := &place{service: service, free: make(chan struct{}, 1)}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byService[service] = append(l.byService[service], joined)
	return joined
}

// leave gives a place up, and lets the next request try at once if the first one left.
func (l *lines) leave(left *place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.byService[left.service]
	for index, waiting := range line {
		if waiting != left {
			continue
		}
		line = append(line[:index:index], line[index+1:]...)
		if index == 0 {
			wakeFirst(line)
		}
		break
	}
	if len(line) == 0 {
		delete(l.byService, left.service)
		return
	}
	l.byService[left.service] = line
}

// failed notes a try that no instance took. After some of them the request goes to the
// end of the line.
func (l *lines) failed(first *place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	first.failures++
	line := l.byService[first.service]
	if first.failures < mostFailures || len(line) < 2 || line[0] != first {
		return
	}
	first.failures = 0
	line = append(line[1:len(line):len(line)], first)
	l.byService[first.service] = line
	wakeFirst(line)
}

// freed says that an instance of the service may have room.
func (l *lines) freed(service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wakeFirst(l.byService[service])
}

func wakeFirst(line []*place) {
	if len(line) == 0 {
		return
	}
	select {
	case line[0].free <- struct{}{}:
	default:
	}
}

// isFirst reports whether the place is the first of its line.
func (l *lines) isFirst(asked *place) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := l.byService[asked.service]
	return len(line) > 0 && line[0] == asked
}

// await waits until the request may try: it is first, and a place was freed or the pause
// is over. It reports false when the context ends or the time to give up has come.
func (l *lines) await(ctx context.Context, waiting *place, pause time.Duration, giveUp time.Time) bool {
	over := time.NewTimer(time.Until(giveUp))
	defer over.Stop()
	for {
		var retry <-chan time.Time
		if l.isFirst(waiting) {
			retry = time.After(pause)
		}
		select {
		case <-waiting.free:
			return true
		case <-retry:
			return true
		case <-over.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}
