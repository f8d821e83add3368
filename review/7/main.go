//go:build review2

// Command 7 shows that a configuration is not in force in time after the open watches at the store have fallen silent.
package main

import (
	"net/http"
	"time"

	"swiftbank.dev/swiftbank/review/rig"
)

const (
	// idleTime is how long a connection must have carried nothing to fall silent.
	idleTime = 2 * time.Second
	// staleTime is how old answers to stale reads are.
	staleTime = 2500 * time.Millisecond
	// contactMargin is added to contact_ms before the configuration changes.
	contactMargin = 1500 * time.Millisecond
	// margin is added to config_apply_ms before the first request counts.
	margin = 50 * time.Millisecond
	// checkTime is how long requests are sent after that.
	checkTime    = 3 * time.Second
	sendInterval = 50 * time.Millisecond
)

func main() {
	r := rig.New("review/7")
	r.Store.Put("config", "main", rig.Configuration(1))
	r.AddEngine("i-llm-1", "llm", "centrs")
	before := r.AddEngine("i-app-1", "apps", "centrs")
	after := r.AddEngine("i-new-1", "apps-2", "centrs")
	r.AddReplica("storage-1", "centrs")
	r.AddReplica("storage-2", "agenskalns")
	r.AddReplica("storage-3", "purvciems")
	gateways := []*rig.Process{r.AddGateway("frontend-1", "centrs"), r.AddGateway("frontend-2", "agenskalns")}
	r.AwaitService(gateways...)
	time.Sleep(6 * time.Second)
	if r.Trouble {
		r.Note("%d idle connections to the store fall silent; new ones work", r.SilenceIdle(idleTime))
	}
	time.Sleep(rig.ContactTime + contactMargin)

	r.Store.SetStaleReadLag(1)
	changed := rig.Configuration(7)
	changed.Services = append(changed.Services, map[string]any{"name": "apps-2", "connection_limit": 110})
	for _, route := range changed.Routes {
		if route["name"] == "start" {
			route["service"] = "apps-2"
		}
	}
	added := map[string]any{}
	for name, value := range changed.Routes[len(changed.Routes)-2] {
		added[name] = value
	}
	added["name"], added["path_prefix"] = "added", "/added/"
	changed.Routes = append(changed.Routes, added)
	r.Store.Put("config", "main", changed)
	acknowledged := time.Now()
	r.Note("version 7 is acknowledged: the route start leads to apps-2, and the route added is new")
	time.AfterFunc(staleTime, func() { r.Store.SetStaleReadLag(0) })

	time.Sleep(time.Until(acknowledged.Add(rig.ConfigApplyTime + margin)))
	byOld, byNew, notFound := 0, 0, 0
	for number := 0; time.Since(acknowledged) < rig.ConfigApplyTime+margin+checkTime; number++ {
		gateway := gateways[number%2]
		sent := time.Since(acknowledged)
		result := r.Send(gateway, http.MethodGet, rig.AppsHost, "/start/x", http.Header{}, "", 1200*time.Millisecond)
		ran := r.RunsOf(result.ID)
		r.Note("request %s sent to %s %.3f s after the acknowledgement: %s, run by %v", result.ID, gateway.Name, sent.Seconds(), result, ran)
		for _, engine := range ran {
			if engine == before.ID {
				byOld++
			}
			if engine == after.ID {
				byNew++
			}
		}
		sent = time.Since(acknowledged)
		result = r.Send(gateway, http.MethodGet, rig.AppsHost, "/added/x", http.Header{}, "", 1200*time.Millisecond)
		r.Note("request %s on the new route sent to %s %.3f s after the acknowledgement: %s", result.ID, gateway.Name, sent.Seconds(), result)
		if result.Status == http.StatusNotFound {
			notFound++
		}
		time.Sleep(sendInterval)
	}
	r.Require(byOld+byNew > 0, "no request was served")
	if byOld+notFound > 0 {
		r.Finish(rig.Broken, "CONFIG: of the requests sent more than 2.0 s after the acknowledgement %d were run by the old service, %d by the new one; %d on the new route got 404", byOld, byNew, notFound)
	}
	r.Finish(rig.Held, "all %d requests were run by the new service", byNew)
}
