package feed

import (
	"bytes"
	"encoding/gob"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/replicaset"
)

// evacuationBound is the time within which every gateway must know of an evacuation despite
// faults. It is below the smallest limit of any deployment (5 s), which leaves time for the
// sends in progress.
const evacuationBound = 4 * time.Second

func evacuation(zone string) Record { return Record{Name: zone, Evacuated: true} }

// requireEvacuated requires that every running gateway holds exactly these zones.
func (f *virtualFleet) requireEvacuated(t *testing.T, message string, zones ...string) {
	for _, name := range f.names {
		p := f.processes[name]
		if !p.alive || p.role != replicaset.RoleGateway {
			continue
		}
		var known []string
		for _, record := range p.core.Cache().Records(Evacuations) {
			known = append(known, record.Name)
		}
		require.ElementsMatch(t, zones, known, "%s: %s", message, name)
	}
}

// refuseThird makes the store refuse a third of the processes, including the readers of all
// zones.
func (f *virtualFleet) refuseThird() {
	for _, zone := range []string{"r-0-0", "r-1-0", "r-2-0"} {
		f.storeCuts[zone] = true
	}
	for _, index := range f.random.Perm(len(f.names))[:len(f.names)/3-len(f.storeCuts)] {
		f.storeCuts[f.names[index]] = true
	}
}

// An evacuation begins or ends at the moment of a fault.
func TestEvacuationReachesGatewaysInTimeDespiteFaults(t *testing.T) {
	faults := map[string]func(*virtualFleet){
		"nothing":            func(*virtualFleet) {},
		"reader killed":      func(f *virtualFleet) { f.kill("r-0-0") },
		"reader frozen":      func(f *virtualFleet) { f.processes["r-0-0"].frozenUntil = f.now.Add(time.Minute) },
		"reader cut off":     func(f *virtualFleet) { f.cutOff("r-0-0") },
		"a third refused":    func(f *virtualFleet) { f.refuseThird() },
		"refused and killed": func(f *virtualFleet) { f.refuseThird(); f.kill("r-0-1") },
		"gateway restarted":  func(f *virtualFleet) { f.kill("g-1-0"); f.start("g-1-0") },
	}
	for name, fault := range faults {
		for seed := range uint64(6) {
			f := newVirtualFleet(t, seed, 3, 4, 6)
			f.run(t, 15*time.Second)
			f.store.write(Evacuations, evacuation("zone-1"))
			fault(f)
			f.run(t, evacuationBound)
			f.requireEvacuated(t, name, "zone-1")

			f = newVirtualFleet(t, seed, 3, 4, 6)
			f.store.write(Evacuations, evacuation("zone-1"))
			f.store.write(Evacuations, evacuation("zone-2"))
			f.run(t, 15*time.Second)
			f.requireEvacuated(t, name, "zone-1", "zone-2")
			f.store.write(Evacuations, deleted("zone-1", 0))
			fault(f)
			f.run(t, evacuationBound)
			f.requireEvacuated(t, name+", ended", "zone-2")
		}
	}
}

// A gateway that starts while the store is unavailable learns of the evacuation from a replica.
// A process that starts from a copy on disk learns of it before any instance.
func TestEvacuationSurvivesRestartsDuringStoreOutage(t *testing.T) {
	f := newVirtualFleet(t, 7, 3, 4, 6)
	f.store.write(Evacuations, evacuation("zone-1"))
	f.store.write(Instances, instance("i", 0))
	f.run(t, 15*time.Second)
	f.storeDown = true
	f.kill("g-0-0")
	f.run(t, 5*time.Second)
	f.start("g-0-0")
	f.run(t, 2*time.Second)
	f.requireEvacuated(t, "restarted", "zone-1")

	batches := f.processes["r-0-0"].core.Cache().Snapshot()
	restarted := NewCore[string](CoreOptions{Node: "r", Zone: "z", Evacuations: true, ReadDelay: readDelay(replicaset.RoleReplica, false)})
	output := restarted.Load(begin, batches)
	order := map[Kind]int{}
	for index, change := range output.Changes {
		order[change.Kind] = index
	}
	require.Contains(t, order, Evacuations)
	require.Less(t, order[Evacuations], order[Instances])
}

// Without evacuations the data is complete without that kind. With evacuations, an upstream that
// does not know the kind does not count as complete.
func TestStatusRequiresOnlyKindsRead(t *testing.T) {
	for _, evacuations := range []bool{false, true} {
		core := NewCore[string](CoreOptions{Node: "g", Zone: "z", Evacuations: evacuations, ReadDelay: func(int, int) time.Duration { return 0 }})
		core.Start(begin)
		var positions Positions
		for _, kind := range kindsToRead(false) {
			core.StoreConfirmed(begin, kind)
			positions[kind].Known = true
		}
		require.Equal(t, !evacuations, core.Status(begin).Confirmed)
		require.Equal(t, !evacuations, positions.Complete(kindsToRead(evacuations)))
		core.StoreConfirmed(begin, Evacuations)
		require.True(t, core.Status(begin).Confirmed)
	}
}

// A copy written by a version without evacuations loads, and evacuations stay unknown.
func TestCopyFileOfOlderVersionLoads(t *testing.T) {
	type olderRecord struct {
		Name          string
		Revision      uint64
		Deleted       bool
		Configuration *Configuration
		Member        []byte
	}
	type olderBatch struct {
		Kind      Kind
		Snapshot  bool
		After, At uint64
		Records   []olderRecord
	}
	var content bytes.Buffer
	require.NoError(t, gob.NewEncoder(&content).Encode([]olderBatch{
		{Kind: 0, Snapshot: true, At: 9, Records: []olderRecord{{Name: "main", Revision: 4, Configuration: &Configuration{Version: 3}}}},
		{Kind: 2, Snapshot: true, At: 9, Records: []olderRecord{{Name: "node-r", Revision: 5, Member: []byte(`{}`)}}},
	}))
	folder := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(folder, copyName), content.Bytes(), copyMode))
	batches := NewCopyFile(folder, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}).Load()
	core := NewCore[string](CoreOptions{Node: "r", Zone: "z", Evacuations: true, ReadDelay: readDelay(replicaset.RoleReplica, false)})
	output := core.Load(begin, batches)
	require.Empty(t, output.RejectedBatches)
	require.Equal(t, uint64(3), core.Cache().Records(Configurations)[0].Configuration.Version)
	require.Len(t, core.Cache().Records(Members), 1)
	require.False(t, core.Cache().Positions()[Evacuations].Known)
}

// With three urgent kinds each is still probed at least every second round.
func TestMonitorProbesThreeUrgentKindsInTime(t *testing.T) {
	urgent := func(kind Kind) *informer { return &informer{kind: kind, urgent: true} }
	counts, most := countProbes([]*informer{urgent(Configurations), urgent(Evacuations), urgent(Instances), {kind: Members}}, 24)
	require.Equal(t, map[Kind]int{Configurations: 16, Evacuations: 16, Instances: 16, Members: 3}, counts)
	require.Equal(t, 3, most)
}
