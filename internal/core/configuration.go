package core

import (
	"reflect"
	"time"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/schedule"
)

const (
	// configReaders is how many nodes of the first cells read the object API.
	configReaders = 2
	// configReadInterval is how often a reader asks for news.
	configReadInterval = 500 * time.Millisecond
	// loadPollInterval is how often back ends may be asked for their load, maxPolls
	// how many then, and reportAge how old the last report must be.
	loadPollInterval = 250 * time.Millisecond
	maxPolls         = 4
	reportAge        = time.Second
	// pullInterval is the least time between two pulls from peers.
	pullInterval = 200 * time.Millisecond
	// maxChangesPerPush bounds one push.
	maxChangesPerPush = 64
)

// tickConfiguration reads the object API when this node is one of the readers.
func (n *Node) tickConfiguration(now time.Time) {
	if now.Before(n.nextConfigRead) {
		return
	}
	n.nextConfigRead = now.Add(configReadInterval)
	if n.readsStore() {
		n.emit(ReadChanges{After: n.catalogue.Revision()})
		n.emit(ReadMachines{})
	}
}

// readsStore reports whether this node is among the first live nodes of the
// first cell. Nodes may disagree for a moment; then a few more read.
func (n *Node) readsStore() bool {
	if n.cell != 0 {
		return false
	}
	readers := 0
	for _, node := range n.config.Topology.CellMembers(0) {
		if node == n.config.Node {
			return true
		}
		if n.detector.NodeAlive(node) {
			readers++
		}
		if readers == configReaders {
			return false
		}
	}
	return false
}

// applyChanges applies change sets from the store or a peer. The catalogue
// ignores what is old and refuses gaps, so nothing here can turn it back.
func (n *Node) applyChanges(now time.Time, changes []catalogue.Change) {
	before := n.catalogue.Revision()
	for _, change := range changes {
		if n.catalogue.Apply(change) != nil {
			break
		}
	}
	if n.catalogue.Revision() > before {
		n.spreadNews(now)
	}
}

// noticeRevision pulls from a peer that has newer configuration.
func (n *Node) noticeRevision(now time.Time, from string, revision uint64) {
	if revision <= n.catalogue.Revision() || now.Sub(n.pulledAt) < pullInterval {
		return
	}
	n.pulledAt = now
	n.send(from, ConfigPull{After: n.catalogue.Revision()})
}

func (n *Node) answerPull(from string, pull ConfigPull) {
	if changes := n.catalogue.Since(pull.After, maxChangesPerPush); len(changes) > 0 {
		n.send(from, ConfigPush{Changes: changes})
	}
}

// machinesRead applies the machine list as this node read it from the platform.
func (n *Node) machinesRead(now time.Time, list []schedule.BackEnd) {
	if reflect.DeepEqual(list, n.machines.BackEnds) {
		return
	}
	version := max(n.machines.Version+1, uint64(now.UnixMilli()))
	n.adoptMachines(MachinesPush{Version: version, BackEnds: list})
}

// adoptMachines applies a newer machine list.
func (n *Node) adoptMachines(list MachinesPush) {
	if list.Version <= n.machines.Version {
		return
	}
	n.machines = list
	n.scheduler.SetBackEnds(list.BackEnds)
}

// noticeMachines pulls the machine list from a peer that has a newer one, so that
// few nodes read it from the platform and all serve while the platform is down.
func (n *Node) noticeMachines(now time.Time, from string, version uint64) {
	if version <= n.machines.Version || now.Sub(n.machinesPulledAt) < pullInterval {
		return
	}
	n.machinesPulledAt = now
	n.send(from, MachinesPull{})
}

func (n *Node) answerMachinesPull(from string) {
	if n.machines.Version > 0 {
		n.send(from, n.machines)
	}
}

// pollLoads asks the back ends for their load.
func (n *Node) pollLoads(now time.Time) {
	if now.Before(n.nextLoadPoll) {
		return
	}
	n.nextLoadPoll = now.Add(loadPollInterval)
	for _, backEnd := range n.scheduler.DuePolls(now, reportAge, maxPolls) {
		n.emit(PollLoad{BackEnd: backEnd})
	}
}
