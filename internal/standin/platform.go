package standin

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"swiftbank.dev/swiftbank/internal/objectapi"
)

// Platform is a stand-in for the platform's object API and machine list.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]objectapi.Object
	version  uint64
	machines map[string]objectapi.Machine
	changed  chan struct{}
	down     bool
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects: map[string]objectapi.Object{}, machines: map[string]objectapi.Machine{},
		changed: make(chan struct{}),
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/objects", p.serveList)
	router.GET("/objects/*key", p.serveGet)
	router.PUT("/objects/*key", p.servePut)
	router.GET("/machines", p.serveMachines)
	router.PUT("/machines", p.serveRegister)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		down := p.down
		p.mu.Unlock()
		if down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		router.ServeHTTP(w, r)
	})
}

// SetDown makes every request fail with status 503 while down is true.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetMachine adds or replaces an entry of the machine list.
func (p *Platform) SetMachine(machine objectapi.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.machines[machine.Name] = machine
}

func (p *Platform) serveGet(w http.ResponseWriter, _ *http.Request, parameters httprouter.Params) {
	p.mu.Lock()
	object, found := p.objects[strings.TrimPrefix(parameters.ByName("key"), "/")]
	p.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, object)
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request, parameters httprouter.Params) {
	key := strings.TrimPrefix(parameters.ByName("key"), "/")
	var value json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	expected, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must be a version", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.objects[key].Version != expected {
		http.Error(w, "another version is stored", http.StatusPreconditionFailed)
		return
	}
	p.version++
	object := objectapi.Object{Key: key, Version: p.version, Value: value}
	p.objects[key] = object
	close(p.changed)
	p.changed = make(chan struct{})
	writeJSON(w, http.StatusOK, object)
}

func (p *Platform) serveList(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	wait, _ := time.ParseDuration(query.Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		list, changed := p.list(query.Get("prefix"), query.Get("after"), limit)
		if len(list) > 0 || wait == 0 {
			writeJSON(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) list(prefix, after string, limit int) ([]objectapi.Object, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []objectapi.Object{}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, p.objects[key])
		}
	}
	return list, p.changed
}

func (p *Platform) serveMachines(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	p.mu.Lock()
	defer p.mu.Unlock()
	machines := []objectapi.Machine{}
	for _, name := range slices.Sorted(maps.Keys(p.machines)) {
		machines = append(machines, p.machines[name])
	}
	writeJSON(w, http.StatusOK, machines)
}

func (p *Platform) serveRegister(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var machine objectapi.Machine
	if err := json.NewDecoder(r.Body).Decode(&machine); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMachine(machine)
	w.WriteHeader(http.StatusNoContent)
}
