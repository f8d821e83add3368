package quorum

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"swiftbank.dev/swiftbank/internal/ledger"
)

// The model runs turns of one program in two or three regions whose cells take one message
// after the other. Messages are lost, doubled and late; gateways end between their steps; a
// region is out of reach for a while. It counts from outside what callers were handed. Each
// guard can be removed, to see that the check can fail.

type escrowGuards struct {
	// wholeBudget lets each region grant the whole budget alone.
	wholeBudget bool
	// readOnly reads the other regions' charges without reserving there.
	readOnly bool
	// silentIsEmpty takes a region that does not answer for one without charges.
	silentIsEmpty bool
	// forgetDead lets the reservations of gateways that ended count for nothing.
	forgetDead bool
	// shareSkipsShared leaves turns reserved by other regions out of the own share's sum.
	shareSkipsShared bool
}

// escrowTurn is a turn at its gateway.
type escrowTurn struct {
	id      string
	region  int
	replies map[int]map[string]ledger.Charge
	// asked is set once the other regions were; ended once it was granted, refused or left.
	asked, ended bool
	settled      ledger.Charge
}

type escrowMessage struct {
	turn, region int
	charge       ledger.Charge
	// reply is the content of the region's cell, or nil on the way there.
	reply map[string]ledger.Charge
}

type escrowModel struct {
	random   *rand.Rand
	guards   escrowGuards
	cells    []map[string]ledger.Charge
	cut      int
	turns    []*escrowTurn
	messages []escrowMessage
	handed   int64
	crossed  int
}

func newEscrowModel(seed uint64, removed escrowGuards) *escrowModel {
	m := &escrowModel{random: rand.New(rand.NewPCG(seed, 2)), guards: removed, cut: -1}
	for range 2 + m.random.IntN(2) {
		m.cells = append(m.cells, map[string]ledger.Charge{})
	}
	return m
}

func (m *escrowModel) begin() {
	turn := &escrowTurn{id: fmt.Sprint("turn-", len(m.turns)), region: m.random.IntN(len(m.cells)), replies: map[int]map[string]ledger.Charge{}}
	m.turns = append(m.turns, turn)
	m.send(len(m.turns)-1, turn.region, ledger.Charge{Turn: turn.id, Tokens: modelMost})
}

func (m *escrowModel) send(turn, region int, charge ledger.Charge) {
	message := escrowMessage{turn: turn, region: region, charge: charge}
	m.messages = append(m.messages, message)
	if m.random.IntN(6) == 0 {
		m.messages = append(m.messages, message)
	}
}

// deliver hands over one message, in no order.
func (m *escrowModel) deliver() {
	if len(m.messages) == 0 {
		return
	}
	place := m.random.IntN(len(m.messages))
	message := m.messages[place]
	m.messages = append(m.messages[:place], m.messages[place+1:]...)
	if m.random.IntN(8) == 0 || message.region == m.cut {
		return
	}
	if message.reply != nil {
		m.receive(message)
		return
	}
	m.record(message)
}

// record takes a message in at a region's cell.
func (m *escrowModel) record(message escrowMessage) {
	cell := m.cells[message.region]
	foreign := message.region != m.turns[message.turn].region
	if !foreign || !m.guards.readOnly {
		if merged, changed := ledger.Merge(cell, message.charge); changed {
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
	if turn.ended {
		return
	}
	turn.replies[message.region] = message.reply
	if !turn.asked {
		m.decideAlone(message.turn, turn)
	} else if len(turn.replies) == len(m.cells) {
		m.decideWithAll(message.turn, turn)
	}
}

func (m *escrowModel) decideAlone(number int, turn *escrowTurn) {
	escrow := Escrow{Budget: modelBudget, MaxTurnTokens: modelMost, Regions: len(m.cells)}
	if m.guards.wholeBudget {
		escrow.Regions = 1
	}
	own := turn.replies[turn.region]
	if m.guards.shareSkipsShared {
		maps.DeleteFunc(own, func(id string, _ ledger.Charge) bool {
			return m.regionOf(id) != turn.region
		})
	}
	switch escrow.DecideInOwnRegion(unionOthers(turn.id, own)) {
	case Granted:
		m.run(number, turn)
	case Exhausted:
		m.settle(number, turn, 0)
	case AskEveryRegion:
		turn.asked = true
		m.crossed++
		for region := range m.cells {
			if region != turn.region {
				m.send(number, region, ledger.Charge{Turn: turn.id, Tokens: modelMost})
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

func (m *escrowModel) decideWithAll(number int, turn *escrowTurn) {
	var all []map[string]ledger.Charge
	for _, charges := range turn.replies {
		all = append(all, charges)
	}
	escrow := Escrow{Budget: modelBudget, MaxTurnTokens: modelMost, Regions: len(m.cells)}
	if escrow.DecideInAllRegions(unionOthers(turn.id, all...)) == Granted {
		m.run(number, turn)
		return
	}
	m.settle(number, turn, 0)
}

// run hands tokens to the caller; the gateway may end before it says how many.
func (m *escrowModel) run(number int, turn *escrowTurn) {
	used := 1 + m.random.Int64N(modelMost)
	m.handed += used
	if m.random.IntN(4) == 0 {
		turn.ended = true
		return
	}
	m.settle(number, turn, used)
}

func (m *escrowModel) settle(number int, turn *escrowTurn, used int64) {
	turn.ended = true
	turn.settled = ledger.Charge{Turn: turn.id, Tokens: used, Final: true}
	m.repeatSettling(number)
}

func (m *escrowModel) repeatSettling(number int) {
	turn := m.turns[number]
	if !turn.settled.Final {
		return
	}
	for region := range m.cells {
		if region == turn.region || turn.asked {
			m.send(number, region, turn.settled)
		}
	}
}

// giveUp ends the wait of a turn: it is not run.
func (m *escrowModel) giveUp(number int) {
	turn := m.turns[number]
	switch {
	case turn.ended:
	case m.guards.silentIsEmpty && turn.asked:
		m.decideWithAll(number, turn)
	case m.guards.forgetDead:
		turn.ended = true
	default:
		m.settle(number, turn, 0)
	}
}

func (m *escrowModel) step() {
	some := func() int { return m.random.IntN(max(1, len(m.turns))) }
	switch draw := m.random.IntN(100); {
	case draw < 12 || len(m.turns) == 0:
		m.begin()
	case draw < 82:
		m.deliver()
	case draw < 90:
		m.repeatSettling(some())
	case draw < 95:
		m.giveUp(some())
	case draw < 97:
		m.turns[some()].ended = true // its gateway ends
	case draw < 98:
		m.cut = m.random.IntN(len(m.cells))
	default:
		m.cut = -1
	}
	if m.guards.forgetDead {
		m.dropDead()
	}
}

func (m *escrowModel) dropDead() {
	for _, turn := range m.turns {
		if turn.ended && !turn.settled.Final {
			for _, cell := range m.cells {
				delete(cell, turn.id)
			}
		}
	}
}

const escrowSteps = 400

func (m *escrowModel) play() int64 {
	for range escrowSteps {
		m.step()
	}
	return m.handed
}

func TestNoProgramIsHandedMoreThanItsBudgetOverRegions(t *testing.T) {
	served, crossed := 0, 0
	for seed := range uint64(20 * modelSeeds) {
		m := newEscrowModel(seed, escrowGuards{})
		require.LessOrEqual(t, m.play(), int64(modelBudget), "seed %d", seed)
		if m.handed > modelBudget/2 {
			served++
		}
		crossed += m.crossed
	}
	require.Greater(t, served, 5*modelSeeds, "a quarter of the runs must hand out more than a half")
	require.Greater(t, crossed, 20*modelSeeds, "turns must ask all regions")
}

func TestTheEscrowModelFindsEachMissingGuard(t *testing.T) {
	removed := map[string]escrowGuards{
		"a share for each region":                    {wholeBudget: true},
		"reserve in every region":                    {readOnly: true},
		"refuse while a region is silent":            {silentIsEmpty: true},
		"count reservations nobody settled":          {forgetDead: true},
		"count other regions' turns against a share": {shareSkipsShared: true},
	}
	for name, guard := range removed {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20 * modelSeeds) {
				if newEscrowModel(seed, guard).play() > modelBudget {
					return
				}
			}
			t.Fatal("no seed shows that the guard is needed")
		})
	}
}

func TestAnEscrowDecidesByTheShare(t *testing.T) {
	one := Escrow{Budget: 100, MaxTurnTokens: 10, Regions: 1}
	two := Escrow{Budget: 100, MaxTurnTokens: 10, Regions: 2}
	require.Equal(t, Granted, one.DecideInOwnRegion(90), "a single region has the whole budget")
	require.Equal(t, Exhausted, one.DecideInOwnRegion(91))
	require.Equal(t, Granted, two.DecideInOwnRegion(40))
	require.Equal(t, AskEveryRegion, two.DecideInOwnRegion(41))
	require.Equal(t, Exhausted, two.DecideInOwnRegion(91), "what the own cell knows suffices to refuse")
	require.Equal(t, Granted, two.DecideInAllRegions(90))
	require.Equal(t, Exhausted, two.DecideInAllRegions(91))
}
