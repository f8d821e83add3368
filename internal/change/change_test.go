package change

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc"
	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/declaration"
	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/standin"
)

var ctx = context.Background()

func newStore(t *testing.T) *objectapi.Client {
	server := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(server.Close)
	return objectapi.New(server.URL)
}

func tenant(name string, budget int64) map[declaration.Reference]declaration.Object {
	reference := declaration.Reference{Kind: declaration.KindTenant, Name: name}
	return map[declaration.Reference]declaration.Object{reference: {
		Reference: reference, Tenant: &declaration.Tenant{KeyDigest: name, BudgetTokens: budget},
	}}
}

func apply(store Store, objects map[declaration.Reference]declaration.Object, beforeWrite func()) error {
	current, err := Load(ctx, store)
	if err != nil {
		return err
	}
	if beforeWrite != nil {
		beforeWrite()
	}
	_, err = Apply(ctx, store, current, Plan(current, objects, false), "operator", "", time.Unix(0, 0))
	return err
}

func TestRacingOperatorsGetOneSuccessAndOneConflict(t *testing.T) {
	store := newStore(t)
	err := apply(store, tenant("coop", 1), func() { require.NoError(t, apply(store, tenant("coop", 2), nil)) })
	var conflict *Conflict
	require.ErrorAs(t, err, &conflict)
	require.Len(t, conflict.Objects, 1)
	require.Equal(t, int64(1), conflict.Objects[0].Mine.Tenant.BudgetTokens)
	require.Equal(t, int64(2), conflict.Objects[0].Theirs.Tenant.BudgetTokens)
	current, err := Load(ctx, store)
	require.NoError(t, err)
	require.Equal(t, uint64(1), current.Revision(), "nothing of the loser was applied")
}

func TestOperatorsOfDifferentObjectsBothSucceed(t *testing.T) {
	store := newStore(t)
	require.NoError(t, apply(store, tenant("coop", 1), func() { require.NoError(t, apply(store, tenant("lgbo", 2), nil)) }))
	current, err := Load(ctx, store)
	require.NoError(t, err)
	require.Equal(t, uint64(2), current.Revision())
	require.Len(t, current.All(), 2)
}

// losingStore lets writes take effect and loses their answers.
type losingStore struct{ Store }

func (s losingStore) Put(ctx context.Context, key string, value any, expected uint64) (objectapi.Object, error) {
	_, _ = s.Store.Put(ctx, key, value, expected)
	return objectapi.Object{}, errors.New("the answer was lost")
}

func TestLostAnswerIsFoundByItsWriteID(t *testing.T) {
	store := newStore(t)
	require.NoError(t, apply(losingStore{store}, tenant("coop", 1), nil))
	current, err := Load(ctx, store)
	require.NoError(t, err)
	require.Equal(t, uint64(1), current.Revision(), "it was written once")
}

// downStore fails before anything is written.
type downStore struct{ Store }

func (downStore) Put(context.Context, string, any, uint64) (objectapi.Object, error) {
	return objectapi.Object{}, errors.New("down")
}

func TestFailedWriteSaysThatNothingWasApplied(t *testing.T) {
	err := apply(downStore{newStore(t)}, tenant("coop", 1), nil)
	require.ErrorContains(t, err, "nothing was applied")
}

func TestPruneDeletesWhatIsNotDeclared(t *testing.T) {
	store := newStore(t)
	require.NoError(t, apply(store, tenant("coop", 1), nil))
	current, err := Load(ctx, store)
	require.NoError(t, err)
	edits := Plan(current, tenant("lgbo", 1), true)
	require.Len(t, edits, 2)
	_, err = Apply(ctx, store, current, edits, "operator", "", time.Unix(0, 0))
	require.NoError(t, err)
	after, err := Load(ctx, store)
	require.NoError(t, err)
	require.Len(t, after.All(), 1)
}

// writeInput and writeOutput are one conditional write, for the model.
type writeInput struct {
	expected uint64
	value    int64
}

type writeOutput struct {
	applied bool
}

// registerModel is one configuration object: a write succeeds only on the
// revision it names.
var registerModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(uint64), input.(writeInput), output.(writeOutput)
		if out.applied {
			return in.expected == revision, revision + 1
		}
		return in.expected != revision, revision
	},
}

// TestObjectWritesAreLinearizable lets operators race on one object and checks
// the history of successes and conflicts.
func TestObjectWritesAreLinearizable(t *testing.T) {
	store := newStore(t)
	var mu sync.Mutex
	var operations []porcupine.Operation
	started := time.Now()
	var operators conc.WaitGroup
	for operator := range 6 {
		random := rand.New(rand.NewPCG(uint64(operator), 1))
		operators.Go(func() {
			for range 8 {
				current, err := Load(ctx, store)
				if err != nil {
					return
				}
				value := random.Int64N(1 << 40)
				call := time.Since(started).Nanoseconds()
				_, err = Apply(ctx, store, current, Plan(current, tenant("coop", value), false), "operator", "", time.Unix(0, 0))
				mu.Lock()
				operations = append(operations, porcupine.Operation{
					ClientId: operator, Input: writeInput{current.Revision(), value}, Call: call,
					Output: writeOutput{err == nil}, Return: time.Since(started).Nanoseconds(),
				})
				mu.Unlock()
			}
		})
	}
	operators.Wait()
	require.Len(t, operations, 48)
	require.True(t, porcupine.CheckOperations(registerModel, operations))
	broken := append([]porcupine.Operation(nil), operations...)
	for i := range broken {
		broken[i].Output = writeOutput{true}
	}
	require.False(t, porcupine.CheckOperations(registerModel, broken), "the model must be able to fail")
}
