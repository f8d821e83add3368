package simulate

import (
	"fmt"
	"os"
	"testing"
	"time"
)

func TestDebug(t *testing.T) {
	w, _ := newWorld(Options{Deployment: "riga", Seed: 1, Duration: 3 * time.Minute, Load: 0.3})
	w.run()
	r := w.report()
	fmt.Fprintf(os.Stderr, "%+v\n", r)
	for id, c := range w.callers.active {
		fmt.Fprintln(os.Stderr, id, c.request.Kind, c.issued, w.now.Sub(c.began), c.request.MaxTokens, c.request.BodyTokens)
	}
	for _, e := range w.backEnds.engineNames {
		a, b, c := w.backEnds.engines[e].model.Load()
		fmt.Fprintln(os.Stderr, e, a, b, c)
	}
	for _, n := range w.nodeNames {
		fmt.Fprintf(os.Stderr, "%+v\n", w.nodes[n].core.Status())
	}
}

func TestDebugShards(t *testing.T) {
	w, _ := newWorld(Options{Deployment: "riga", Seed: 1, Duration: 3 * time.Minute, Load: 0.3})
	w.run()
	stuck := map[uint32]int{}
	for id, c := range w.callers.active {
		if w.now.Sub(c.began) > 30*time.Second {
			stuck[w.layout.ShardOfSession(id.Key)]++
		}
	}
	fmt.Fprintln(os.Stderr, stuck)
	for _, n := range w.nodeNames {
		fmt.Fprintf(os.Stderr, "%+v\n", w.nodes[n].core.Status())
		fmt.Fprintln(os.Stderr, w.nodes[n].core.DebugGroups())
	}
}

func TestDebugSeed(t *testing.T) {
	w, _ := newWorld(Options{Deployment: os.Getenv("DEP"), Seed: seedEnv(), Duration: 10 * time.Minute, Load: 0.2, Faults: AllFaults})
	w.trace = os.Stderr
	w.run()
}

func seedEnv() uint64 {
	var s uint64
	fmt.Sscan(os.Getenv("SEED"), &s)
	return s
}

func TestDebugEnd(t *testing.T) {
	w, _ := newWorld(Options{Deployment: os.Getenv("DEP"), Seed: seedEnv(), Duration: 10 * time.Minute, Load: 0.2, Faults: AllFaults})
	w.run()
	stuck := map[uint32]int{}
	for id, c := range w.callers.active {
		if w.now.Sub(c.began) > 30*time.Second {
			stuck[w.layout.ShardOfSession(id.Key)]++
		}
	}
	fmt.Fprintln(os.Stderr, "stuck", stuck)
	for _, n := range w.nodeNames {
		fmt.Fprintf(os.Stderr, "%s %+v\n", w.now.Sub(w.nodes[n].bootedAt), w.nodes[n].core.Status())
		fmt.Fprintln(os.Stderr, w.nodes[n].core.DebugGroups())
	}
}

func TestDebugWave(t *testing.T) {
	w, _ := newWorld(Options{Deployment: "riga", Seed: 8, Duration: 6 * time.Minute, Load: 0.2, Faults: []Fault{FaultRestartWave}})
	w.after(100*time.Second, func() {
		for _, n := range w.nodeNames {
			fmt.Fprintf(os.Stderr, "%s %+v\n", w.now.Sub(w.nodes[n].bootedAt), w.nodes[n].core.Status())
			fmt.Fprintln(os.Stderr, w.nodes[n].core.HealthyShards(), len(w.nodes[n].connections))
			fmt.Fprintln(os.Stderr, w.nodes[n].core.DebugGroups())
		}
	})
	w.run()
}
