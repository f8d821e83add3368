package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"swiftbank.dev/swiftbank/internal/ledger"
	"swiftbank.dev/swiftbank/internal/quarantine"
	"swiftbank.dev/swiftbank/internal/replicaset"
)

// followModel is a gateway that follows three voters over connections that lose, delay and repeat messages, voters that
// restart, and a relay that returns replies out of order.
type followModel struct {
	now      time.Time
	follower *QuarantineFollower
	voters   []*modelVoter
	table    *quarantine.Table
	// recordedAt is when a quorum had accepted each request's record.
	recordedAt map[quarantine.Key]time.Time
	requests   int
}

// modelVoter is a voter and the connection to it.
type modelVoter struct {
	disk     string
	restarts int
	state    *ledger.State
	followed *followedVoter
	// asked are the renewals under way to the voter, sent the replies under way from it.
	asked []ledger.ReadQuarantine
	sent  []*ledger.QuarantineReply
	// subscription is the request that the voter answers as records change; nil if there is none.
	subscription *ledger.ReadQuarantine
}

func newFollowModel() *followModel {
	m := &followModel{now: time.Unix(1000, 0), table: quarantine.NewTable(), recordedAt: map[quarantine.Key]time.Time{}}
	learn := func(records []quarantine.Record, _ bool) {
		for _, record := range records {
			m.table.Merge(m.now, record.Key, record.Runs...)
		}
	}
	m.follower = (&Cells{}).NewQuarantineFollower("g/1", learn)
	var set replicaset.Set
	for number := range 3 {
		disk := fmt.Sprintf("disk-%d", number)
		set.Voters = append(set.Voters, replicaset.Voter{Node: disk, Disk: disk})
		voter := &modelVoter{disk: disk, followed: &followedVoter{name: disk}}
		voter.state = ledger.NewState(disk, disk+"/0")
		m.voters = append(m.voters, voter)
		m.follower.voters[disk] = voter.followed
	}
	m.follower.client = &Client{set: set}
	return m
}

// renew sends a renewal to a voter.
func (m *followModel) renew(v *modelVoter) {
	v.followed.renewal++
	v.followed.renewedAt = m.now
	v.asked = append(v.asked, *m.follower.requestOf(v.followed))
}

// answer lets a voter get the oldest renewal.
func (m *followModel) answer(v *modelVoter) {
	if len(v.asked) == 0 {
		return
	}
	request := v.asked[0]
	v.asked = v.asked[1:]
	request.MaxRuns = 2
	v.subscription = &request
	m.push(v, true)
}

// push lets a voter send what changed since its last reply to the subscription.
func (m *followModel) push(v *modelVoter, always bool) {
	if v.subscription == nil || !always && v.subscription.After == v.state.QuarantinePosition() {
		return
	}
	reply := v.state.Step(m.now, ledger.Request{ReadQuarantine: v.subscription}).Immediate[0].Quarantine
	next := *v.subscription
	next.After = reply.Next
	v.subscription = &next
	v.sent = append(v.sent, reply)
}

// deliver delivers a reply, which need not be the oldest.
func (m *followModel) deliver(v *modelVoter, index int) {
	if len(v.sent) == 0 {
		return
	}
	index %= len(v.sent)
	reply := v.sent[index]
	v.sent = append(v.sent[:index:index], v.sent[index+1:]...)
	if m.learnReply(v, reply) && reply.More {
		m.renew(v)
	}
}

func (m *followModel) learnReply(v *modelVoter, reply *ledger.QuarantineReply) bool {
	m.follower.changed(reply.Records, m.follower.isFirst(v.followed, reply))
	return m.follower.advance(v.followed, reply)
}

// exchange renews the subscription at a voter, and delivers whatever is under way both ways.
func (m *followModel) exchange(v *modelVoter) {
	m.renew(v)
	for len(v.asked)+len(v.sent) > 0 {
		m.answer(v)
		m.deliver(v, 0)
	}
}

// record lets two voters accept the record of a request, or of another run of a known one.
func (m *followModel) record(without int, key quarantine.Key) {
	m.requests++
	run := quarantine.Run{ID: quarantine.RunIDOf(fmt.Sprint(m.requests), 1), Instance: fmt.Sprint(m.requests), Outcome: quarantine.Ended}
	for number, v := range m.voters {
		if number == without {
			continue
		}
		v.state.Step(m.now, ledger.Request{Reserve: &ledger.Reserve{Program: ledger.QuarantineProgram(key), Charge: ledger.RunCharge(run), Retention: time.Hour}})
	}
	m.recordedAt[key] = m.now
}

// restart starts a voter again, with what is on its disk.
func (m *followModel) restart(v *modelVoter) {
	v.restarts++
	restarted := ledger.NewState(v.disk, fmt.Sprintf("%s/%d", v.disk, v.restarts))
	for _, record := range v.state.Snapshot() {
		restarted.Replay(m.now, record)
	}
	v.state, v.subscription, v.asked, v.sent = restarted, nil, nil, nil
}

// check requires that the gateway knows all runs of the time of which it says so.
func (m *followModel) check(t require.TestingT) {
	knownAt := m.follower.KnownAt()
	for key, at := range m.recordedAt {
		if at.Before(knownAt) {
			recorded := 0
			for _, v := range m.voters {
				recorded = max(recorded, len(runsAt(v.state, m.now, key)))
			}
			require.GreaterOrEqual(t, m.table.Standing(m.now, key, "").Ended, recorded-m.later(key, knownAt), "request %s, recorded %s before %s", key, knownAt.Sub(at), knownAt)
		}
	}
}

// later returns how many runs of a request may have been recorded after a time: none, if its last one was not.
func (m *followModel) later(key quarantine.Key, at time.Time) int {
	if m.recordedAt[key].Before(at) {
		return 0
	}
	return 1
}

func runsAt(state *ledger.State, now time.Time, key quarantine.Key) []quarantine.Run {
	for _, record := range state.Step(now, ledger.Request{ReadQuarantine: &ledger.ReadQuarantine{MaxRuns: 1 << 20}}).Immediate[0].Quarantine.Records {
		if record.Key == key {
			return record.Runs
		}
	}
	return nil
}

// Whatever is lost, late, repeated or restarted: what a gateway says to know, it knows.
func TestKnowledgeIsCompleteWithinItsAge(t *testing.T) {
	confirmed := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newFollowModel()
		steps := rapid.IntRange(20, 200).Draw(t, "steps")
		for range steps {
			v := m.voters[rapid.IntRange(0, 2).Draw(t, "voter")]
			m.now = m.now.Add(10 * time.Millisecond)
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0, 1:
				m.record(rapid.IntRange(0, 2).Draw(t, "without"), quarantine.Key{byte(rapid.IntRange(0, 5).Draw(t, "key"))})
			case 10, 11, 12:
				m.exchange(v)
			case 2:
				m.renew(v)
			case 3, 4:
				m.answer(v)
			case 5:
				m.push(v, false)
			case 6, 7:
				m.deliver(v, 0)
			case 8:
				m.deliver(v, rapid.IntRange(0, 3).Draw(t, "reply"))
			case 9:
				m.disturb(t, v)
			}
			m.check(t)
		}
		if !m.follower.KnownAt().IsZero() {
			confirmed++
		}
	})
	require.Positive(t, confirmed, "no schedule confirmed anything")
}

// disturb loses or repeats a message, ends the connection, or restarts the voter.
func (m *followModel) disturb(t *rapid.T, v *modelVoter) {
	switch rapid.IntRange(0, 4).Draw(t, "disturbance") {
	case 0:
		v.asked = nil
	case 1:
		v.sent = nil
	case 2:
		if len(v.sent) > 0 {
			v.sent = append(v.sent, v.sent[0])
		}
	case 3:
		v.asked, v.sent, v.subscription = nil, nil, nil
	case 4:
		m.restart(v)
	}
}
