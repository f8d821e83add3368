package core

import (
	"time"

	"swiftbank.dev/swiftbank/internal/catalogue"
)

const (
	// configReaders is how many nodes of the first cells read the object API.
	configReaders = 2
	// configReadInterval is how often a reader asks for news.
	configReadInterval = 500 * time.Millisecond
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

// applyChanges takes in change sets from the store or a peer. The catalogue
// ignores what is old and refuses gaps, so nothing here can turn it back.
func (n *Node) applyChanges(changes []catalogue.Change) {
	for _, change := range changes {
		if n.catalogue.Apply(change) != nil {
			return
		}
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
