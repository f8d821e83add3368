package ledger

import (
	"slices"
	"time"
)

const (
	// inventoryLimit is the maximum number of ids in one inventory reply.
	inventoryLimit = 4000
	// fetchBytes is the size of turns at which a reply is truncated. A larger reply would delay
	// the answers to callers on the same connection and use too much memory on either side.
	fetchBytes = 128 << 10
)

// Bytes estimates the encoded size of the turn.
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
	query := request.Inventory
	after := 0
	if query.Boot == s.boot {
		after = query.After
		s.peerPositions[query.From] = max(s.peerPositions[query.From], after)
	}
	start := max(0, after-s.trimmedIDs)
	end := min(len(s.storedIDs), start+inventoryLimit)
	reply := s.reply(request.Number)
	reply.Settled, reply.ReportsSettled = s.settled, true
	reply.Inventory = &InventoryReply{Boot: s.boot, Position: s.trimmedIDs + end, More: end < len(s.storedIDs)}
	if start < end {
		reply.Inventory.IDs = slices.Clone(s.storedIDs[start:end])
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
