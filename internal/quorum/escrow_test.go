package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// The model runs turns of one program in two or three regions whose cells process one message at a
// time. Messages are lost, duplicated and delayed, gateways stop between their steps, and a region
// may be unreachable for a while. The model counts the tokens that callers received independently
// of the charges. Each guard can be removed, to show that the check can fail.

type escrowGuards struct {
	// wholeBudget lets each region grant the whole budget on its own.
	wholeBudget bool
	// readOnly reads the other regions' charges without reserving there.
	readOnly bool
	// unreachableIsEmpty treats a region that does not reply as one without charges.
	unreachableIsEmpty bool
	// dropUnsettled ignores the unsettled reservations of gateways that stopped.
	dropUnsettled bool
	// shareIgnoresRemote leaves turns reserved by other regions out of the sum for the own share.
	shareIgnoresRemote bool
}

// escrowTurn is the state of a turn at its gateway.
type escrowTurn struct {
	id      string
	region  int
	replies map[int]map[string]ledger.Charge
	// crossRegion is set once the turn was sent to the other regions; finished is set once it was
	// granted, refused or abandoned.
	crossRegion, finished bool
	settled               ledger.Charge
}

type escrowMessage struct {
	turn, region int
	charge       ledger.Charge
	// reply is the content of the region's cell; it is nil in a request.
	reply map[string]ledger.Charge
}

type escrowModel struct {
	random           *rand.Rand
	guards           escrowGuards
	cells            []map[string]ledger.Charge
	unreachable      int
	turns            []*escrowTurn
	messages         []escrowMessage
	usedTokens       int64
	crossRegionTurns int
}

func newEscrowModel(seed uint64, removed escrowGuards) *escrowModel {
	m := &escrowModel{random: rand.New(rand.NewPCG(seed, 2)), guards: removed, unreachable: -1}
	for range 2 + m.random.IntN(2) {
		m.cells = append(m.cells, map[string]ledger.Charge{})
	}
	return m
}

func (m *escrowModel) begin() {
	turn := &escrowTurn{id: fmt.Sprint("turn-", len(m.turns)), region: m.random.IntN(len(m.cells)), replies: map[int]map[string]ledger.Charge{}}
	m.turns = append(m.turns, turn)
	m.send(len(m.turns)-1, turn.region, ledger.Charge{Turn: turn.id, Tokens: modelTurnTokens})
}

func (m *escrowModel) send(turn, region int, charge ledger.Charge) {
	message := escrowMessage{turn: turn, region: region, charge: charge}
	m.messages = append(m.messages, message)
	if m.random.IntN(6) == 0 {
		m.messages = append(m.messages, message)
	}
}

// deliver delivers one message, chosen at random.
func (m *escrowModel) deliver() {
	if len(m.messages) == 0 {
		return
	}
	index := m.random.IntN(len(m.messages))
	message := m.messages[index]
	m.messages = append(m.messages[:index], m.messages[index+1:]...)
	if m.random.IntN(8) == 0 || message.region == m.unreachable {
		return
	}
	if message.reply != nil {
		m.receive(message)
		return
	}
	m.record(message)
}

// record applies a request at a region's cell and queues the reply.
func (m *escrowModel) record(message escrowMessage) {
	cell := m.cells[message.region]
	foreign := message.region != m.turns[message.turn].region
	if !foreign || !m.guards.readOnly {
		if merged, changed := ledger.MergeCharge(cell, message.charge); changed {
			cell[message.charge.Turn] = merged
		}
	}
	if !message.charge.Final {
		message.reply = maps.Clone(cell)
		m.messages = append(m.messages, message)
	}
}

func (m *escrowModel) receive(message escrowMessage) {
	turn := m.turns[message.turn]
	if turn.finished {
		return
	}
	turn.replies[message.region] = message.reply
	if !turn.crossRegion {
		m.decideInOwnRegion(message.turn, turn)
	} else if len(turn.replies) == len(m.cells) {
		m.decideInAllRegions(message.turn, turn)
	}
}

func (m *escrowModel) decideInOwnRegion(number int, turn *escrowTurn) {
	escrow := Escrow{Budget: modelBudget, MaxTurnTokens: modelTurnTokens, Regions: len(m.cells)}
	if m.guards.wholeBudget {
		escrow.Regions = 1
	}
	own := turn.replies[turn.region]
	if m.guards.shareIgnoresRemote {
		maps.DeleteFunc(own, func(id string, _ ledger.Charge) bool {
			return m.regionOf(id) != turn.region
		})
	}
	switch escrow.DecideInOwnRegion(unionOtherTokens(turn.id, own)) {
	case Granted:
		m.serveTurn(number, turn)
	case Exhausted:
		m.settle(number, turn, 0)
	case AskEveryRegion:
		turn.crossRegion = true
		m.crossRegionTurns++
		for region := range m.cells {
			if region != turn.region {
				m.send(number, region, ledger.Charge{Turn: turn.id, Tokens: modelTurnTokens})
			}
		}
	}
}

func (m *escrowModel) regionOf(id string) int {
	for _, turn := range m.turns {
		if turn.id == id {
			return turn.region
		}
	}
	return -1
}

func (m *escrowModel) decideInAllRegions(number int, turn *escrowTurn) {
	var all []map[string]ledger.Charge
	for _, charges := range turn.replies {
		all = append(all, charges)
	}
	escrow := Escrow{Budget: modelBudget, MaxTurnTokens: modelTurnTokens, Regions: len(m.cells)}
	if escrow.DecideInAllRegions(unionOtherTokens(turn.id, all...)) == Granted {
		m.serveTurn(number, turn)
		return
	}
	m.settle(number, turn, 0)
}

// serveTurn returns tokens to the caller. The gateway may stop before it settles them.
func (m *escrowModel) serveTurn(number int, turn *escrowTurn) {
	used := 1 + m.random.Int64N(modelTurnTokens)
	m.usedTokens += used
	if m.random.IntN(4) == 0 {
		turn.finished = true
		return
	}
	m.settle(number, turn, used)
}

func (m *escrowModel) settle(number int, turn *escrowTurn, used int64) {
	turn.finished = true
	turn.settled = ledger.Charge{Turn: turn.id, Tokens: used, Final: true}
	m.resendSettlement(number)
}

func (m *escrowModel) resendSettlement(number int) {
	turn := m.turns[number]
	if !turn.settled.Final {
		return
	}
	for region := range m.cells {
		if region == turn.region || turn.crossRegion {
			m.send(number, region, turn.settled)
		}
	}
}

// timeOut ends the wait of an undecided turn, which is not run.
func (m *escrowModel) timeOut(number int) {
	turn := m.turns[number]
	switch {
	case turn.finished:
	case m.guards.unreachableIsEmpty && turn.crossRegion:
		m.decideInAllRegions(number, turn)
	case m.guards.dropUnsettled:
		turn.finished = true
	default:
		m.settle(number, turn, 0)
	}
}

func (m *escrowModel) step() {
	randomTurn := func() int { return m.random.IntN(max(1, len(m.turns))) }
	switch roll := m.random.IntN(100); {
	case roll < 12 || len(m.turns) == 0:
		m.begin()
	case roll < 82:
		m.deliver()
	case roll < 90:
		m.resendSettlement(randomTurn())
	case roll < 95:
		m.timeOut(randomTurn())
	case roll < 97:
		m.turns[randomTurn()].finished = true // its gateway stops
	case roll < 98:
		m.unreachable = m.random.IntN(len(m.cells))
	default:
		m.unreachable = -1
	}
	if m.guards.dropUnsettled {
		m.dropUnsettledCharges()
	}
}

func (m *escrowModel) dropUnsettledCharges() {
	for _, turn := range m.turns {
		if turn.finished && !turn.settled.Final {
			for _, cell := range m.cells {
				delete(cell, turn.id)
			}
		}
	}
}

const escrowSteps = 400

func (m *escrowModel) run() int64 {
	for range escrowSteps {
		m.step()
	}
	return m.usedTokens
}

func TestEscrowModelNeverExceedsBudget(t *testing.T) {
	productive, crossRegionTurns := 0, 0
	for seed := range uint64(20 * modelSeeds) {
		m := newEscrowModel(seed, escrowGuards{})
		require.LessOrEqual(t, m.run(), int64(modelBudget), "seed %d", seed)
		if m.usedTokens > modelBudget/2 {
			productive++
		}
		crossRegionTurns += m.crossRegionTurns
	}
	require.Greater(t, productive, 5*modelSeeds, "a quarter of the runs must use more than half of the budget")
	require.Greater(t, crossRegionTurns, 20*modelSeeds, "turns must be decided in all regions")
}

func TestEscrowModelDetectsMissingGuards(t *testing.T) {
	removed := map[string]escrowGuards{
		"a share for each region":                    {wholeBudget: true},
		"reserve in every region":                    {readOnly: true},
		"refuse while a region is unreachable":       {unreachableIsEmpty: true},
		"count unsettled reservations":               {dropUnsettled: true},
		"count other regions' turns against a share": {shareIgnoresRemote: true},
	}
	for name, guard := range removed {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20 * modelSeeds) {
				if newEscrowModel(seed, guard).run() > modelBudget {
					return
				}
			}
			t.Fatal("no seed shows that the guard is needed")
		})
	}
}

func TestEscrowDecisions(t *testing.T) {
	one := Escrow{Budget: 100, MaxTurnTokens: 10, Regions: 1}
	two := Escrow{Budget: 100, MaxTurnTokens: 10, Regions: 2}
	require.Equal(t, Granted, one.DecideInOwnRegion(90), "a single region has the whole budget")
	require.Equal(t, Exhausted, one.DecideInOwnRegion(91))
	require.Equal(t, Granted, two.DecideInOwnRegion(40))
	require.Equal(t, AskEveryRegion, two.DecideInOwnRegion(41))
	require.Equal(t, Exhausted, two.DecideInOwnRegion(91), "the charges in the own cell suffice to refuse")
	require.Equal(t, Granted, two.DecideInAllRegions(90))
	require.Equal(t, Exhausted, two.DecideInAllRegions(91))
}
