// Command draft2: the log of a replica whose snapshot is longer than a batch may be.
package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/platform/platformtest"
	"swiftbank.dev/swiftbank/review/stage"
)

const (
	inputBytes = 280 << 10
	turns      = 360
	perSecond  = 14
	tokens     = 40
	budget     = 400
	recovery   = 12 * time.Second
	lastTries  = 4 * time.Second
)

var (
	record   *os.File
	recordMu sync.Mutex
)

func note(format string, args ...any) {
	recordMu.Lock()
	defer recordMu.Unlock()
	fmt.Fprintf(record, time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}

type turn struct {
	id, program, previous string
	input                 []byte
}

type answer struct {
	status int
	body   string
	err    error
}

func send(gateway *stage.Process, t turn) answer {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.Caller+"/chat/x", bytes.NewReader(t.input))
	if err != nil {
		return answer{err: err}
	}
	r.Host = "agents.test"
	for name, value := range map[string]string{
		"X-Request-Id": t.id, "X-Deadline-Ms": "4000", "X-Program-Id": t.program, "X-Session-Id": "s" + t.program, "X-Program-Deadline-Ms": "20000",
		"X-Token-Budget": fmt.Sprint(budget), "X-Token-Count": fmt.Sprintf("%d,%d", len(t.input)/4, tokens), "X-Model": "m",
	} {
		r.Header.Set(name, value)
	}
	if t.previous != "" {
		r.Header.Set("X-Previous-Turn", t.previous)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, body: string(content), err: err}
}

func main() {
	os.Exit(run())
}

func run() int {
	var err error
	if record, err = os.Create(os.Args[1]); err != nil {
		return 2
	}
	f, err := stage.New(2, 4)
	if err != nil {
		return 2
	}
	defer f.Close()
	var engines []*platformtest.Engine
	for i := range 3 {
		e := platformtest.NewEngine(fmt.Sprintf("i-engine-%d", i+1))
		defer e.Close()
		engines = append(engines, e)
		f.Store.Put("servers", e.ID, e.Entry("llm", stage.Zones[i], "ready"))
	}
	config := platformtest.Configuration{Version: 1, Routes: []map[string]any{
		{"name": "chat", "host": "agents.test", "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "priority": 1, "service": "llm", "attempts": 1, "is_retained": true, "retention_s": 60, "sticky": true, "target_gap_ms": 500},
	}, Services: []map[string]any{{"name": "llm", "connection_limit": 160, "engine": map[string]any{"slots": 12, "kv_cache_tokens": 127559, "tokens_per_event": 9}}},
		Limits: map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
	f.Store.Put("config", "main", config)
	if err := f.StartAll(); err != nil {
		note("%v", err)
		return 2
	}
	// Wait for the replicas.
	ready := false
	for n := 0; n < 60 && !ready; n++ {
		ready = send(f.Gateways[n%2], turn{id: fmt.Sprintf("warm%d", n), program: fmt.Sprintf("warm%d", n), input: []byte("hello")}).status == 200
		time.Sleep(250 * time.Millisecond)
	}
	if !ready {
		note("no turn is served")
		return 2
	}
	var mu sync.Mutex
	var kept []turn
	var wg sync.WaitGroup
	var failed atomic.Int64
	text := bytes.Repeat([]byte("the offer history of a participant. "), inputBytes/36+1)[:inputBytes]
	ticker := time.NewTicker(time.Second / perSecond)
	for n := range turns {
		<-ticker.C
		t := turn{id: fmt.Sprintf("turn%06d", n), program: fmt.Sprintf("program%06d", n), input: append([]byte(fmt.Sprintf("%06d ", n)), text...)}
		wg.Go(func() {
			got := send(f.Gateways[n%2], t)
			if got.status != 200 || got.err != nil {
				failed.Add(1)
				note("%s is answered %d %v", t.id, got.status, got.err)
				return
			}
			mu.Lock()
			kept = append(kept, t)
			mu.Unlock()
		})
	}
	wg.Wait()
	ticker.Stop()
	note("%d turns of %d bytes answered whole, %d failed", len(kept), inputBytes, failed.Load())
	time.Sleep(7 * time.Second)
	for _, r := range f.Replicas {
		files, _ := filepath.Glob(filepath.Join(f.Folder, r.Name, "ledger", "*"))
		for _, file := range files {
			info, _ := os.Stat(file)
			note("%s: %s of %d bytes; %s", r.Name, filepath.Base(file), info.Size(), r.Peak())
		}
	}
	config.Version = 2
	f.Store.Put("config", "main", config)
	if os.Getenv("TROUBLE") != "0" {
		note("all processes are killed")
		all := append(append([]*stage.Process{}, f.Replicas...), f.Gateways...)
		var killed sync.WaitGroup
		for _, p := range all {
			killed.Go(p.Kill)
		}
		killed.Wait()
		time.Sleep(500 * time.Millisecond)
		for _, p := range all {
			if err := f.Start(p); err != nil {
				return 2
			}
		}
		note("all processes are started again")
	}
	back := time.Now()
	// Programs go on from the turns kept last, and others begin, until recovery_s is over.
	asked := kept[len(kept)-20:]
	reached := map[string]bool{}
	var firstServed, firstSent atomic.Int64
	for round := 0; time.Since(back) < recovery+lastTries; round++ {
		late := time.Since(back) >= recovery
		var tries sync.WaitGroup
		for index, t := range asked {
			mu.Lock()
			done := reached[t.id]
			mu.Unlock()
			if done {
				continue
			}
			tries.Go(func() {
				next := turn{id: fmt.Sprintf("next%03d-%02d", round, index), program: t.program, previous: t.id, input: []byte("go on")}
				got := send(f.Gateways[(round+index)%2], next)
				if got.status == 200 && got.err == nil {
					mu.Lock()
					reached[t.id] = true
					mu.Unlock()
				} else if late {
					note("%s, which goes on from %s, is answered %d %v %s", next.id, t.id, got.status, got.err, strings.TrimSpace(got.body))
				}
			})
			tries.Go(func() {
				first := turn{id: fmt.Sprintf("first%03d-%02d", round, index), program: fmt.Sprintf("first%03d-%02d", round, index), input: []byte("begin")}
				got := send(f.Gateways[(round+index)%2], first)
				if late {
					firstSent.Add(1)
					if got.status == 200 && got.err == nil {
						firstServed.Add(1)
					}
				}
			})
		}
		tries.Wait()
		time.Sleep(400 * time.Millisecond)
	}
	lost := 0
	for _, t := range asked {
		if !reached[t.id] {
			lost++
		}
	}
	note("of %d turns answered whole less than retention_s ago, %d reach no engine by recovery_s and in the last 4 s; of %d first turns then, %d are served", len(asked), lost, firstSent.Load(), firstServed.Load())
	fmt.Println("asked", len(asked), "lost", lost, "first", firstSent.Load(), firstServed.Load())
	if lost > 0 && firstServed.Load()*5 >= firstSent.Load()*4 {
		return 1
	}
	return 0
}
