package ledger

import (
	"slices"
	"time"
)

const (
	// inventoryLimit bounds the ids of one inventory reply.
	inventoryLimit = 4000
	// fetchBytes is how many bytes of turns a reply holds before it is cut: it must not hold
	// up the answers to callers on the same connection for long, nor fill the memory on either side.
	fetchBytes = 128 << 10
)

// Bytes is about what the turn weighs on the wire.
func (t Turn) Bytes() int {
	return len(t.ID) + len(t.Tenant) + len(t.Previous) + len(t.Input) + len(t.Output) + len(t.Instance)
}

// StoreTurns stores turns fetched from another replica.
func (s *State) StoreTurns(now time.Time, turns []Turn) []Record {
	var records []Record
	for _, turn := range turns {
		records = append(records, s.store(now, turn)...)
	}
	return records
}

// Missing returns the ids that are not stored here.
func (s *State) Missing(ids []string) []string {
	var missing []string
	for _, id := range ids {
		if s.turns[id] == nil {
			missing = append(missing, id)
		}
	}
	return missing
}

func (s *State) inventory(request Request) Output {
	asked := request.Inventory
	after := 0
	if asked.Boot == s.boot {
		after = asked.After
		s.peers[asked.From] = max(s.peers[asked.From], after)
	}
	start := max(0, after-s.orderBase)
	end := min(len(s.order), start+inventoryLimit)
	reply := s.reply(request.Number)
	reply.Inventory = &InventoryReply{Boot: s.boot, Position: s.orderBase + end, More: end < len(s.order)}
	if start < end {
		reply.Inventory.IDs = slices.Clone(s.order[start:end])
	}
	return Output{Immediate: []Reply{reply}}
}

func (s *State) fetch(request Request) Output {
	reply := s.reply(request.Number)
	size := 0
	for _, id := range request.Fetch.IDs {
		stored := s.turns[id]
		if stored == nil {
			continue
		}
		if size > fetchBytes {
			reply.Cut = true
			break
		}
		size += stored.turn.Bytes()
		reply.Turns = append(reply.Turns, stored.turn)
	}
	return Output{Immediate: []Reply{reply}}
}
