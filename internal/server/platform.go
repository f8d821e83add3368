package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/raft"
	"swiftbank.dev/swiftbank/internal/schedule"
	"swiftbank.dev/swiftbank/internal/shard"
)

const (
	// watchWait is how long a read of change sets waits for news.
	watchWait = 3 * time.Second
)

// founding is the object that names a cell's founding members.
type founding struct {
	Members []raft.MemberID `json:"members"`
}

// platformWatcher reads the platform's machine list and object API.
type platformWatcher struct {
	server  *Server
	client  *objectapi.Client
	reading atomic.Bool
	forming atomic.Bool
	listing atomic.Bool
}

func newPlatformWatcher(server *Server, client *objectapi.Client) *platformWatcher {
	return &platformWatcher{server: server, client: client}
}

// readMachines reads the machine list, one read at a time. When the platform is
// down the last list stays.
func (w *platformWatcher) readMachines() {
	if !w.listing.CompareAndSwap(false, true) {
		return
	}
	w.server.tasks.Go(func() {
		defer w.listing.Store(false)
		machines, err := w.client.Machines(w.server.context)
		if err != nil {
			w.server.logger.Warn().Str("node", w.server.settings.ID).Err(err).Msg("machine list not read")
			return
		}
		w.server.push(core.BackEndsListed{BackEnds: backEndsOf(machines)})
	})
}

func backEndsOf(machines []objectapi.Machine) []schedule.BackEnd {
	list := make([]schedule.BackEnd, 0, len(machines))
	for _, machine := range machines {
		kind, valid := kindOf(machine.Kind)
		if !valid {
			continue
		}
		list = append(list, schedule.BackEnd{
			Name: machine.Name, Service: machine.Service, Kind: kind, Zone: machine.Zone, Address: machine.Address,
			Models: machine.Models, Slots: machine.Slots, CacheTokens: machine.CacheTokens, Leaving: machine.Leaving,
		})
	}
	return list
}

func kindOf(name string) (shard.CallKind, bool) {
	kinds := []shard.CallKind{shard.EngineCall, shard.ApplicationCall, shard.ToolCall}
	place := slices.IndexFunc(kinds, func(kind shard.CallKind) bool { return kind.String() == name })
	if place < 0 {
		return 0, false
	}
	return kinds[place], true
}

// readChanges reads the change sets after a revision, one read at a time.
func (w *platformWatcher) readChanges(after uint64) {
	if !w.reading.CompareAndSwap(false, true) {
		return
	}
	w.server.tasks.Go(func() {
		defer w.reading.Store(false)
		changes, err := change.Read(w.server.context, w.client, after, watchWait)
		if err != nil {
			w.server.logger.Warn().Str("node", w.server.settings.ID).Err(err).Msg("configuration not read")
			return
		}
		if len(changes) > 0 {
			w.server.push(core.ChangesRead{Changes: changes})
		}
	})
}

// formCell creates the founding object, or replaces that of a cell all of whose
// founders have since restarted without their state.
func (w *platformWatcher) formCell(action core.FormCell) {
	if !w.forming.CompareAndSwap(false, true) {
		return
	}
	w.server.tasks.Go(func() {
		defer w.forming.Store(false)
		key := fmt.Sprintf("cells/%04d", action.Cell)
		members, err := w.found(key, action.Members)
		if err != nil {
			w.server.logger.Warn().Str("node", w.server.settings.ID).Err(err).Msg("cell not founded")
			return
		}
		w.server.push(core.CellFormed{Members: members})
	})
}

// found writes the founding if the stored one is of earlier incarnations, and
// returns the one that stands. The caller has seen all nodes of the cell alive
// and outside of any cell, so no member of an earlier founding is left.
func (w *platformWatcher) found(key string, members []raft.MemberID) ([]raft.MemberID, error) {
	ctx := w.server.context
	object, err := w.client.Get(ctx, key)
	if err != nil && !errors.Is(err, objectapi.ErrNotFound) {
		return nil, err
	}
	var stored founding
	if err == nil {
		if err := json.Unmarshal(object.Value, &stored); err != nil {
			return nil, fmt.Errorf("server: %s: %w", key, err)
		}
		if slices.Equal(stored.Members, members) {
			return members, nil
		}
	}
	if _, err := w.client.Put(ctx, key, founding{Members: members}, object.Version); err != nil {
		return nil, err
	}
	return members, nil
}
