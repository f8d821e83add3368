package simulate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/change"
	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/raft"
)

const (
	storeDelay     = 20 * time.Millisecond
	storeSlowDelay = 4 * time.Second
	// maxChangesRead bounds one read.
	maxChangesRead = 64
)

var errStoreDown = errors.New("object API: down")

// simStore is the platform's object API.
type simStore struct {
	world   *world
	objects map[string]objectapi.Object
	version uint64
	// accepted are the change sets in order, as the checker's truth.
	accepted  []acceptedChange
	foundings map[int][]raft.MemberID

	down bool
	slow bool
	// loseAnswers makes writes take effect and then fail.
	loseAnswers bool
}

type acceptedChange struct {
	change catalogue.Change
	at     time.Time
}

func newSimStore(w *world) *simStore {
	return &simStore{world: w, objects: map[string]objectapi.Object{}, foundings: map[int][]raft.MemberID{}}
}

// Put implements change.Store.
func (s *simStore) Put(_ context.Context, key string, value any, expected uint64) (objectapi.Object, error) {
	if s.down {
		return objectapi.Object{}, errStoreDown
	}
	if s.objects[key].Version != expected {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return objectapi.Object{}, fmt.Errorf("simulate: %w", err)
	}
	s.version++
	object := objectapi.Object{Key: key, Version: s.version, Value: encoded}
	s.objects[key] = object
	if written, isChange := value.(catalogue.Change); isChange {
		s.accepted = append(s.accepted, acceptedChange{change: written, at: s.world.now})
		s.world.note("accepted", key)
		for _, edit := range written.Edits {
			if edit.Object != nil && edit.Object.Tenant != nil {
				s.world.checker.budgetAccepted(edit.Reference.Name, edit.Object.Tenant.BudgetTokens)
			}
		}
	}
	if s.loseAnswers {
		return objectapi.Object{}, errors.New("object API: the answer was lost")
	}
	return object, nil
}

// Watch implements change.Store. It does not wait.
func (s *simStore) Watch(_ context.Context, prefix, after string, limit int, _ time.Duration) ([]objectapi.Object, error) {
	if s.down {
		return nil, errStoreDown
	}
	var list []objectapi.Object
	for _, key := range sortedIDs(s.objects) {
		if key > after && len(key) > len(prefix) && key[:len(prefix)] == prefix && len(list) < limit {
			list = append(list, s.objects[key])
		}
	}
	return list, nil
}

// applyInitial puts the deployment's declarations in force.
func (s *simStore) applyInitial() error {
	return s.apply(s.world.deployment.declarations(), "start")
}

func (s *simStore) apply(objects map[declaration.Reference]declaration.Object, operator string) error {
	current, err := s.load()
	if err != nil {
		return err
	}
	return s.applyTo(current, objects, operator)
}

// load reads the configuration in force, as an operator does.
func (s *simStore) load() (*catalogue.Catalogue, error) {
	return change.Load(context.Background(), s)
}

func (s *simStore) applyTo(current *catalogue.Catalogue, objects map[declaration.Reference]declaration.Object, operator string) error {
	edits := change.Plan(current, objects, false)
	if len(edits) == 0 {
		return nil
	}
	_, err := change.Apply(context.Background(), s, current, edits, operator, "", s.world.now)
	return err
}

// readChanges serves a node's read of change sets.
func (s *simStore) readChanges(n *simNode, after uint64) {
	if n.reading {
		return
	}
	n.reading = true
	epoch := n.epoch
	delay := storeDelay
	if s.slow {
		delay = storeSlowDelay
	}
	s.world.after(delay, func() {
		if n.epoch != epoch {
			return
		}
		n.reading = false
		if s.down || after >= uint64(len(s.accepted)) {
			return
		}
		var changes []catalogue.Change
		for _, accepted := range s.accepted[after:min(uint64(len(s.accepted)), after+maxChangesRead)] {
			changes = append(changes, accepted.change)
		}
		n.deliver(epoch, core.ChangesRead{Changes: changes})
	})
}

// formCell creates the founding object once.
func (s *simStore) formCell(n *simNode, action core.FormCell) {
	epoch := n.epoch
	s.world.after(storeDelay, func() {
		if s.down {
			return
		}
		if s.foundings[action.Cell] == nil {
			s.foundings[action.Cell] = action.Members
		}
		n.deliver(epoch, core.CellFormed{Members: s.foundings[action.Cell]})
	})
}
