package wiretest_test

import (
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/catalogue"
	"swiftbank.dev/swiftbank/internal/core"
	"swiftbank.dev/swiftbank/internal/fairshare"
	"swiftbank.dev/swiftbank/internal/feed"
	"swiftbank.dev/swiftbank/internal/learned"
	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/loadstatus"
	"swiftbank.dev/swiftbank/internal/membership"
	"swiftbank.dev/swiftbank/internal/objectapi"
	"swiftbank.dev/swiftbank/internal/program"
	"swiftbank.dev/swiftbank/internal/quorum"
	"swiftbank.dev/swiftbank/internal/replicaset"
	"swiftbank.dev/swiftbank/internal/server"
	"swiftbank.dev/swiftbank/internal/shard"
	"swiftbank.dev/swiftbank/internal/simulate"
	"swiftbank.dev/swiftbank/internal/wiretest"
)

// Two versions of the program exchange these messages and read each other's files. An encoder
// drops a field that was renamed without an error, and both ends of other tests are of one version.
func TestFieldsOfMessagesAndStoredRecordsKeepTheirNames(t *testing.T) {
	wiretest.CheckFields(t, "testdata/fields.txt", map[string]reflect.Type{
		"ledger request":     reflect.TypeFor[ledger.Request](),
		"ledger reply":       reflect.TypeFor[ledger.Reply](),
		"ledger log record":  reflect.TypeFor[ledger.Record](),
		"relay request":      reflect.TypeFor[quorum.RelayRequest](),
		"relay reply":        reflect.TypeFor[quorum.RelayReply](),
		"feed request":       reflect.TypeFor[feed.Request](),
		"feed reply":         reflect.TypeFor[feed.Reply](),
		"store copy":         reflect.TypeFor[[]feed.Batch](),
		"learned figures":    reflect.TypeFor[learned.Datagram](),
		"fair share section": reflect.TypeFor[map[fairshare.Key]float64](),
		"node envelope":      reflect.TypeFor[core.Envelope](),
		"registered node":    reflect.TypeFor[replicaset.Node](),
		"replica layout":     reflect.TypeFor[replicaset.Layout](),
		"replica set":        reflect.TypeFor[replicaset.Set](),
		"stored change":      reflect.TypeFor[catalogue.Change](),
		"stored object":      reflect.TypeFor[objectapi.Object](),
		"listed machine":     reflect.TypeFor[objectapi.Machine](),
		"load status":        reflect.TypeFor[loadstatus.Status](),
		"operator status":    reflect.TypeFor[server.OperatorStatus](),
		"session view":       reflect.TypeFor[server.SessionView](),
		"trace header":       reflect.TypeFor[simulate.TraceHeader](),
		"trace program":      reflect.TypeFor[simulate.TimedProgram](),
		"trace fault":        reflect.TypeFor[simulate.TimedFault](),
		"trace outcomes":     reflect.TypeFor[simulate.Outcomes](),
		"program":            reflect.TypeFor[program.Program](),
	})
}

// A type that is registered with encoding/gob travels under its package path and name.
func TestRegisteredTypesKeepTheirNames(t *testing.T) {
	roots := map[string]reflect.Type{}
	for _, value := range []any{
		shard.Begin{}, shard.Retry{}, shard.Finish{}, shard.EndSession{}, shard.ReleaseDone{}, shard.Grant{},
		shard.AddAllowance{}, shard.ReturnAllowance{}, shard.CreditReturn{}, shard.ReturnDone{}, shard.Barrier{},
		shard.Purge{}, shard.State{}, membership.Heartbeat{}, core.RaftMessages{}, core.Forward{}, core.ForwardReply{},
		core.CallPayload{}, core.AnswerPayload{}, core.SessionPayload{}, core.EndPayload{}, core.GrantPayload{},
		core.CreditPayload{}, core.HoldPayload{}, core.AttemptQuery{}, core.AttemptReport{}, core.BindRequest{},
		core.ConfigPull{}, core.ConfigPush{}, core.FoundingPull{}, core.FoundingPush{}, core.MachinesPull{}, core.MachinesPush{},
	} {
		registered := reflect.TypeOf(value)
		roots[registered.PkgPath()+"."+registered.Name()] = registered
	}
	wiretest.CheckFields(t, "testdata/registered.txt", roots)
}

// Headers, paths, events and fields of logs, metrics, labels, flags, settings, file names and texts
// of enums are known to callers, back ends, operators and stored data. A folder must hold each
// literal that testdata/names.txt lists below it.
func TestNamesKnownOutsideTheProcessStay(t *testing.T) {
	content, err := os.ReadFile("testdata/names.txt")
	require.NoError(t, err)
	var folder string
	var literals map[string]bool
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		quoted, isName := strings.CutPrefix(line, "\t")
		if !isName {
			folder = line
			literals, err = wiretest.Literals(filepath.Join("../..", folder))
			require.NoError(t, err)
			continue
		}
		name, err := strconv.Unquote(quoted)
		require.NoError(t, err, line)
		require.Truef(t, literals[name], "%s no longer holds the literal %s", folder, quoted)
	}
}
