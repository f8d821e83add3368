package simulate

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/schedule"
)

// Fault names a kind of fault.
type Fault string

// The kinds of fault that can be injected.
const (
	FaultKill            Fault = "kill"
	FaultFreeze          Fault = "freeze"
	FaultPartition       Fault = "partition"
	FaultOneWayPartition Fault = "one-way-partition"
	FaultLoss            Fault = "loss"
	FaultDuplicate       Fault = "duplicate"
	FaultReorder         Fault = "reorder"
	FaultStoreDown       Fault = "store-down"
	FaultStoreSlow       Fault = "store-slow"
	FaultAnswerLost      Fault = "answer-lost"
	FaultClockSkew       Fault = "clock-skew"
	FaultZoneLoss        Fault = "zone-loss"
	FaultOperatorRace    Fault = "operator-race"
	FaultEngineRestart   Fault = "engine-restart"
	FaultToolHang        Fault = "tool-hang"
	FaultRestartWave     Fault = "restart-wave"
)

// AllFaults lists every kind of fault, in a fixed order.
var AllFaults = []Fault{
	FaultKill, FaultFreeze, FaultPartition, FaultOneWayPartition, FaultLoss, FaultDuplicate, FaultReorder,
	FaultStoreDown, FaultStoreSlow, FaultAnswerLost, FaultClockSkew, FaultZoneLoss, FaultOperatorRace,
	FaultEngineRestart, FaultToolHang, FaultRestartWave,
}

// ParseFaults reads a comma-separated list, "all" or "none".
func ParseFaults(text string) ([]Fault, error) {
	switch text {
	case "all":
		return slices.Clone(AllFaults), nil
	case "none", "":
		return nil, nil
	}
	var faults []Fault
	for _, name := range strings.Split(text, ",") {
		fault := Fault(strings.TrimSpace(name))
		if !slices.Contains(AllFaults, fault) {
			return nil, fmt.Errorf("unknown fault %q; known are all, none and %v", name, AllFaults)
		}
		faults = append(faults, fault)
	}
	return faults, nil
}

// Options describe one run.
type Options struct {
	Deployment string
	Seed       uint64
	Duration   time.Duration
	Faults     []Fault
	// Load is the offered work as a share of what the engines can do with every
	// prefix cached.
	Load float64
	// Policy is how calls are placed.
	Policy schedule.Policy
	// Nodes, Engines and Tenants override the deployment's size where positive.
	Nodes   int
	Engines int
	Tenants int
	// Programs bounds the programs begun; zero means no bound.
	Programs int
	// RunOut lets programs begin during the whole duration, and goes on until all
	// have ended, so that every program counts.
	RunOut bool
	// Trace is a recorded run to play instead of drawing programs and faults.
	Trace *Trace
	// Events gets the event log as text, one line an event, when set.
	Events io.Writer

	// budget overrides the tenants' budget where positive.
	budget int64
	// wrap lets a test put something between the world and a node.
	wrap func(w *world, node *simNode) stepper
}

// stepper is what the world drives; *core.Node is one.
type stepper interface {
	Step(now time.Time, event core.Event) []core.Action
}
