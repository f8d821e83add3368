package e2e

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/platform/platformtest"
)

// testCallerLeaves lets callers leave in each state that a request of each kind may be in: the
// work of the instance ends, and none begins later.
func (f *fleet) testCallerLeaves(t *testing.T) {
	for name, test := range map[string]struct {
		host, path string
		stream     bool
		back       []*platformtest.Engine
		// before is how the request's first tries end.
		before platformtest.Behaviour
		tries  int
	}{
		"a stream":                         {agentHost, "/plan/t", true, f.engines, platformtest.Behaviour{}, 0},
		"a turn":                           {agentHost, "/chat/t", true, f.engines, platformtest.Behaviour{}, 0},
		"a stream that was resumed":        {agentHost, "/plan/t", true, f.engines, platformtest.Behaviour{CutAfter: 1}, 1},
		"a stream that waited for room":    {agentHost, "/plan/t", true, f.engines, platformtest.Behaviour{Refuse: true}, 5},
		"a safe call":                      {appsHost, "/start/t", false, f.apps, platformtest.Behaviour{}, 0},
		"a safe call that was sent again":  {appsHost, "/start/t", false, f.apps, platformtest.Behaviour{LoseAnswer: true}, 1},
		"an unsafe call":                   {appsHost, "/charge/t", false, f.apps, platformtest.Behaviour{}, 0},
		"an unsafe call that waited first": {appsHost, "/charge/t", false, f.apps, platformtest.Behaviour{Refuse: true}, 5},
	} {
		t.Run(name, func(t *testing.T) {
			hold := make(chan struct{})
			defer close(hold)
			var mu sync.Mutex
			tries := 0
			for _, engine := range test.back {
				engine.SetBehaviour(func(*http.Request) platformtest.Behaviour {
					mu.Lock()
					defer mu.Unlock()
					tries++
					if tries <= test.tries {
						return test.before
					}
					return platformtest.Behaviour{Hold: hold}
				})
				defer engine.SetBehaviour(nil)
			}
			left := func() int { return test.back[0].Left() + test.back[1].Left() }
			before := left()
			id := f.newID()
			leave := f.begin(t, id, test.host, test.path, test.stream)
			require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return tries > test.tries }, 10*time.Second, 5*time.Millisecond)
			leave()
			require.Eventually(t, func() bool { return left() == before+1 }, engineWorkLimit+leaveSlack, 5*time.Millisecond)
			ran := len(runsOf(id, test.back))
			require.Never(t, func() bool { return len(runsOf(id, test.back)) > ran }, 100*time.Millisecond, 20*time.Millisecond)
		})
	}
}

const (
	// engineWorkLimit is how long an instance may work on for a caller that left, leaveSlack what
	// the machine of the test may add.
	engineWorkLimit = 500 * time.Millisecond
	leaveSlack      = 3 * time.Second
)

// begin sends a request that its caller leaves when the returned function is called.
func (f *fleet) begin(t *testing.T, id, host, path string, stream bool) (leave context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.gateways[0].address+path, strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = host
	request.Header.Set("X-Request-Id", id)
	if stream {
		request.Header.Set("X-Token-Count", "10,50")
	}
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	return cancel
}
