//go:build review

// Case 2: an engine's late second copy of a refusal is taken for the answer to the same request, which was sent
// again on the same connection and runs.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"swiftbank.dev/swiftbank/review/harness"
)

const (
	// work is how long a request runs at the engine; the mean of the sheet is 104 ms.
	work = 104 * time.Millisecond
	// slots is the engine's number of slots, as in the sheet.
	slots = 6
	// ordinary is the number of other requests that the engine answers before; the site file's dose of a second
	// answer is 3 in 100 of the answers.
	ordinary = 60
)

func main() {
	os.Exit(run())
}

func run() int {
	record, err := harness.NewRecord("review/2/record.txt")
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer record.Close()
	fleet, err := harness.Start(harness.Layout{Gateways: 2, Replicas: 3}, record)
	defer fleet.Stop()
	broken := false
	if err == nil {
		broken, err = play(fleet, os.Getenv("TROUBLE") != "0")
	}
	if err != nil {
		record.Line("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		return 2
	}
	if broken {
		return 1
	}
	return 0
}

// play fills the engine's slots through one gateway and sends one more request, which is not repeatable, through
// another. The engine turns that one away until a slot is free. It reports whether a rule was broken.
func play(fleet *harness.Fleet, trouble bool) (broken bool, err error) {
	engine, err := harness.NewPlainServer("i-app-1", slots, work, fleet.Record)
	if err != nil {
		return false, err
	}
	defer engine.Close()
	fleet.Store.Put("servers", engine.ID, engine.Entry("market-apps", "pasig-hall"))
	notice := func(gateway int, id string) harness.Answer {
		return fleet.PostAs(id, fleet.Gateways[gateway], harness.AppsHost, "/notice/x", nil, "publish")
	}
	for gateway := range fleet.Gateways {
		if !harness.Await(20*time.Second, func() bool { return notice(gateway, fleet.NewID()).Status == http.StatusOK }) {
			return false, fmt.Errorf("no request is served")
		}
	}
	for range ordinary {
		notice(0, fleet.NewID())
	}
	var busy sync.WaitGroup
	for range slots {
		id := fleet.NewID()
		busy.Go(func() { notice(1, id) })
		time.Sleep(10 * time.Millisecond)
	}
	id := fleet.NewID()
	if trouble {
		engine.RepeatRefusalOf(id)
	}
	answer := notice(0, id)
	busy.Wait()
	time.Sleep(2 * time.Second) // a request that is refused must not run later either
	runs := engine.RunsOf(id)
	answers, surpluses := engine.Answers()
	fleet.Record.Line("request %s ran %d times, its caller got %d; %d of %d answers were surplus", id, runs, answer.Status, surpluses, answers)
	fmt.Printf("runs %d, status %d, surplus answers %d of %d\n", runs, answer.Status, surpluses, answers)
	switch {
	case runs > 1:
		fleet.Record.Line("TWICE is broken")
		return true, nil
	case runs > 0 && (answer.Status == http.StatusServiceUnavailable || answer.Status == http.StatusTooManyRequests):
		fleet.Record.Line("REFUSED is broken")
		return true, nil
	}
	return false, nil
}
