//go:build review2

// Command 5 shows that a program spends its budget again while the only sound disk that knows of it is cut off.
package main

import (
	"net/http"
	"time"

	"swiftbank.dev/swiftbank/review/rig"
)

const (
	// outage is how long one machine is down while the program spends its budget (node_kill on store: 2.8 s).
	outage = 2800 * time.Millisecond
	// calmTime is how long nothing happens after that: catch_up_s and contact_ms.
	calmTime = rig.CatchUpTime + rig.ContactTime
	// cutTime is how long another machine is partitioned (core_cut on store: 10 s).
	cutTime = 9200 * time.Millisecond
	// wipeAfter is when the third machine loses its disk after the cut began, downTime how long it is down (after_ack_wipe: 2 s).
	wipeAfter = time.Second
	downTime  = 2 * time.Second
	// askFrom is when the program asks again after the cut began.
	askFrom     = 5500 * time.Millisecond
	askInterval = 250 * time.Millisecond

	turnTokens = 40
	budget     = 100
)

func main() {
	r := rig.New("review/5")
	r.Store.Put("config", "main", rig.Configuration(1))
	r.AddEngine("i-llm-1", "llm", "centrs")
	r.AddEngine("i-llm-2", "llm", "agenskalns")
	r.AddEngine("i-app-1", "apps", "centrs")
	loses := r.AddReplica("storage-1", "centrs")
	cut := r.AddReplica("storage-2", "agenskalns")
	misses := r.AddReplica("storage-3", "purvciems")
	gateways := []*rig.Process{r.AddGateway("frontend-1", "centrs"), r.AddGateway("frontend-2", "agenskalns")}
	r.AwaitService(gateways...)
	time.Sleep(calmTime)

	if r.Trouble {
		misses.Kill()
		r.Note("%s is killed", misses.Name)
	}
	program, tokens := r.NewID(), 0
	ask := func(gateway *rig.Process) int {
		result := r.Turn(gateway, rig.Turn{Path: "/plan/x", Program: program, Budget: budget, MaxTokens: turnTokens, Body: "spend"})
		tokens += result.Events() * rig.TokensPerEvent
		r.Note("turn %s of program %s (budget %d) at %s: %s; %d tokens so far", result.ID, program, budget, gateway.Name, result, tokens)
		return result.Status
	}
	began := time.Now()
	for number := 0; time.Since(began) < outage; number++ {
		if ask(gateways[number%2]) == http.StatusPaymentRequired {
			break
		}
		time.Sleep(askInterval)
	}
	r.Require(tokens > 0, "the program got no tokens")
	time.Sleep(time.Until(began.Add(outage)))
	if r.Trouble {
		misses.Start()
		r.Note("%s is back, with its disk", misses.Name)
	}
	time.Sleep(calmTime)
	ask(gateways[0])

	cutAt := time.Now()
	if r.Trouble {
		r.CutOff(cut)
		r.Note("%s is cut off", cut.Name)
		time.Sleep(wipeAfter)
		loses.Kill()
		loses.WipeDisk()
		r.Note("%s has lost its disk", loses.Name)
		time.Sleep(downTime)
		loses.Start()
		r.Note("%s is back with an empty disk", loses.Name)
	}
	time.Sleep(time.Until(cutAt.Add(askFrom)))
	for number := 0; time.Since(cutAt) < cutTime; number++ {
		ask(gateways[number%2])
		time.Sleep(askInterval)
	}
	if r.Trouble {
		r.Rejoin(cut)
		r.Note("the cut of %s has ended after %.1f s", cut.Name, time.Since(cutAt).Seconds())
	}
	time.Sleep(calmTime)
	ask(gateways[0])
	if tokens > budget+turnTokens {
		r.Finish(rig.Broken, "BUDGET: %d tokens for a budget of %d and %d for one turn more", tokens, budget, turnTokens)
	}
	r.Finish(rig.Held, "%d tokens for a budget of %d and %d for one turn more", tokens, budget, turnTokens)
}
