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
