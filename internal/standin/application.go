package standin

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Application is a stand-in for an application or a tool service. It runs every
// request it receives and counts the runs by idempotency key.
type Application struct {
	name string
	// delay is the simulated duration of a request.
	delay time.Duration

	mu   sync.Mutex
	runs map[string]int
}

// NewApplication returns an application that responds after the delay.
func NewApplication(name string, delay time.Duration) *Application {
	return &Application{name: readableName(name), delay: delay, runs: map[string]int{}}
}

// Runs returns the number of runs by idempotency key.
func (a *Application) Runs() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return maps.Clone(a.runs)
}

// ServeHTTP implements http.Handler. GET /runs returns the run counts, GET /load
// the load; every other request is run.
func (a *Application) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	repeatID(w, r)
	switch r.Method + " " + r.URL.Path {
	case "GET /runs":
		writeJSON(w, http.StatusOK, a.Runs())
		return
	case "GET /load":
		writeJSON(w, http.StatusOK, map[string]int{"running": 0, "waiting": 0})
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	a.mu.Lock()
	a.runs[key]++
	count := a.runs[key]
	a.mu.Unlock()
	time.Sleep(a.delay)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"application":%q,"key":%q,"run":%d,"bytes":%d}`, a.name, key, count, len(body))
}
