package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"swiftbank.dev/swiftbank/internal/verdict"
)

// State is one shard's replicated state. Only Apply changes it.
type State struct {
	Shard    uint32
	Sessions map[SessionKey]*Session
	// Open holds the sessions with a call in progress, so that a takeover need
	// not look at idle ones.
	Open map[SessionKey]bool
	// Releases are ordered but not yet confirmed by the engine.
	Releases   map[Release]bool
	Allowances map[string]*Allowance
	Ledgers    map[string]*Ledger
	// Tombstones are the sessions that were forgotten and when they ended. A late
	// copy of a call must not open such a session again.
	Tombstones map[SessionKey]time.Time
	// ConfigFloor is the newest configuration that a decision here was made
	// with. A leader with an older one may not decide, so configuration never
	// goes back for this shard's sessions.
	ConfigFloor uint64
}

// NewState returns the empty state of a shard.
func NewState(number uint32) *State {
	return &State{
		Shard:      number,
		Sessions:   map[SessionKey]*Session{},
		Open:       map[SessionKey]bool{},
		Releases:   map[Release]bool{},
		Allowances: map[string]*Allowance{},
		Ledgers:    map[string]*Ledger{},
		Tombstones: map[SessionKey]time.Time{},
	}
}

// Clone returns a copy that further Apply calls on s do not change.
func (s *State) Clone() *State {
	clone := NewState(s.Shard)
	clone.ConfigFloor = s.ConfigFloor
	for key, session := range s.Sessions {
		copied := *session
		copied.Calls = slices.Clone(session.Calls)
		copied.Engines = slices.Clone(session.Engines)
		clone.Sessions[key] = &copied
	}
	maps.Copy(clone.Open, s.Open)
	maps.Copy(clone.Releases, s.Releases)
	maps.Copy(clone.Tombstones, s.Tombstones)
	for tenant, allowance := range s.Allowances {
		clone.Allowances[tenant] = allowance.clone()
	}
	for tenant, ledger := range s.Ledgers {
		clone.Ledgers[tenant] = ledger.clone()
	}
	return clone
}

// BeginResult is the result of applying Begin or Retry.
type BeginResult struct {
	// Begun is set when the attempt was recorded and may be dispatched.
	Begun *Call
	// Refusal is set when it was not.
	Refusal *verdict.Error
}

// FinishResult is the result of applying Finish.
type FinishResult struct {
	// Call is the call with its outcome, or nil when the command was stale.
	Call *Call
}

// Apply applies one command and returns its result: BeginResult, FinishResult,
// GrantResult, or nil.
func (s *State) Apply(command any) any {
	switch c := command.(type) {
	case Begin:
		return s.applyBegin(c)
	case Retry:
		return s.applyRetry(c)
	case Finish:
		return s.applyFinish(c)
	case EndSession:
		s.applyEndSession(c)
	case ReleaseDone:
		delete(s.Releases, c.Release)
	case Grant:
		return s.applyGrant(c)
	case AddAllowance:
		s.applyAddAllowance(c)
	case ReturnAllowance:
		s.allowance(c.Tenant).giveBack(c.Version)
	case CreditReturn:
		s.applyCreditReturn(c)
	case Purge:
		s.applyPurge(c)
	case ReturnDone:
		s.applyReturnDone(c)
	}
	return nil
}

// raiseFloor refuses a decision made with configuration older than that of an
// earlier decision in this shard.
func (s *State) raiseFloor(revision uint64) *verdict.Error {
	if revision < s.ConfigFloor {
		return verdict.Refuse(verdict.CodeStaleConfig, time.Second, "this node's configuration is behind")
	}
	s.ConfigFloor = revision
	return nil
}

func (s *State) applyBegin(c Begin) BeginResult {
	if refusal := s.raiseFloor(c.ConfigRevision); refusal != nil {
		return BeginResult{Refusal: refusal}
	}
	disposition, _, refusal := s.Classify(&c.Request)
	switch disposition {
	case Refused:
		return BeginResult{Refusal: refusal}
	case InProgress, Recorded:
		return BeginResult{Refusal: verdict.Refuse(verdict.CodePreviousInProgress, previousCallRetry, "the call is already recorded")}
	}
	if refusal := s.allowance(c.Request.ID.Key.Tenant).reserve(c.Reserve, c.BudgetVersion); refusal != nil {
		return BeginResult{Refusal: refusal}
	}
	session := s.openSession(c)
	call := &Call{
		Request: c.Request, Attempt: 1, BackEnd: c.BackEnd, Dispatcher: c.Dispatcher,
		Reserved: c.Reserve, BudgetVersion: c.BudgetVersion, Explanation: c.Explanation, EnginePriority: c.EnginePriority, BegunAt: c.At,
	}
	if previous := session.CallBySequence(c.Request.ID.Sequence); previous != nil {
		call.Attempt = previous.Attempt + 1
		session.Calls[c.Request.ID.Sequence-1] = call
	} else {
		session.Calls = append(session.Calls, call)
	}
	call.StreamAttempt = call.Attempt
	s.noteDispatch(session, call)
	return BeginResult{Begun: call}
}

func (s *State) openSession(c Begin) *Session {
	key := c.Request.ID.Key
	session := s.Sessions[key]
	if session == nil {
		session = &Session{
			Key: key, Program: c.Request.Program, ParentProgram: c.Request.ParentProgram,
			Template: c.Request.Template, TemplateRevision: c.TemplateRevision, Limits: c.Limits,
			StartedAt: c.At,
		}
		s.Sessions[key] = session
	}
	session.LastActiveAt = c.At
	return session
}

// noteDispatch marks the session open and remembers where cache may arise.
func (s *State) noteDispatch(session *Session, call *Call) {
	s.Open[session.Key] = true
	if call.Request.Kind != EngineCall {
		return
	}
	session.Engines = slices.DeleteFunc(session.Engines, func(engine string) bool { return engine == call.BackEnd })
	session.Engines = append(session.Engines, call.BackEnd)
}

func (s *State) applyRetry(c Retry) BeginResult {
	if refusal := s.raiseFloor(c.ConfigRevision); refusal != nil {
		return BeginResult{Refusal: refusal}
	}
	session := s.Sessions[c.ID.Key]
	if session == nil || session.CallBySequence(c.ID.Sequence) == nil {
		return BeginResult{Refusal: verdict.Refuse(verdict.CodeInternal, 0, "the call is not recorded")}
	}
	call := session.CallBySequence(c.ID.Sequence)
	if call.Outcome != nil || c.Attempt != call.Attempt+1 {
		return BeginResult{Refusal: verdict.Refuse(verdict.CodePreviousInProgress, previousCallRetry, "another attempt is recorded")}
	}
	next := *call
	next.Attempt = c.Attempt
	next.BackEnd = c.BackEnd
	next.Dispatcher = c.Dispatcher
	next.Explanation = c.Explanation
	if !c.Resume {
		next.StreamAttempt = c.Attempt
		if refusal := s.reserveAgain(&next, c); refusal != nil {
			return BeginResult{Refusal: refusal}
		}
	}
	session.Calls[c.ID.Sequence-1] = &next
	s.noteDispatch(session, &next)
	return BeginResult{Begun: &next}
}

// reserveAgain replaces the reservation of the previous attempt. Unless that
// attempt did not run it may have used everything, so it is charged in full.
func (s *State) reserveAgain(next *Call, c Retry) *verdict.Error {
	allowance := s.allowance(c.ID.Key.Tenant)
	if refusal := allowance.reserve(c.Reserve, c.BudgetVersion); refusal != nil {
		return refusal
	}
	used := next.Reserved
	if c.PreviousVerdict == verdict.NotRun {
		used = 0
	}
	allowance.settle(next.Reserved, used, next.BudgetVersion)
	next.Reserved = c.Reserve
	next.BudgetVersion = c.BudgetVersion
	return nil
}

func (s *State) applyFinish(c Finish) FinishResult {
	session := s.Sessions[c.Attempt.Call.Key]
	if session == nil {
		return FinishResult{}
	}
	call := session.CallBySequence(c.Attempt.Call.Sequence)
	if call == nil || call.Outcome != nil || call.Attempt != c.Attempt.Attempt {
		return FinishResult{}
	}
	finished := *call
	outcome := c.Outcome
	finished.Outcome = &outcome
	session.Calls[c.Attempt.Call.Sequence-1] = &finished
	session.LastActiveAt = outcome.FinishedAt
	s.settleCall(session, &finished)
	delete(s.Open, session.Key)
	if session.Ended {
		s.orderReleases(session)
	}
	return FinishResult{Call: &finished}
}

// settleCall charges what the attempt used. An attempt with an unknown outcome
// is charged in full, since the engine may have served all of it.
func (s *State) settleCall(session *Session, call *Call) {
	outcome := call.Outcome
	used := call.Reserved
	switch outcome.Verdict {
	case verdict.NotRun:
		used = 0
	case verdict.Ran:
		used = min(call.Reserved, outcome.PromptTokens+outcome.CompletionTokens)
		if call.Request.Kind == EngineCall && outcome.Succeeded() {
			session.HistoryTokens += call.Request.BodyTokens + outcome.CompletionTokens
			session.ServedTokens += outcome.PromptTokens - outcome.CachedTokens + outcome.CompletionTokens
		}
	}
	s.allowance(session.Key.Tenant).settle(call.Reserved, used, call.BudgetVersion)
}

func (s *State) applyEndSession(c EndSession) {
	session := s.Sessions[c.Key]
	if session == nil || session.Ended {
		return
	}
	session.Ended = true
	session.LastActiveAt = c.At
	if !session.InProgress() {
		s.orderReleases(session)
	}
}

// orderReleases records that every engine which may hold cache for the session must drop it.
func (s *State) orderReleases(session *Session) {
	for _, engine := range session.Engines {
		s.Releases[Release{Key: session.Key, Engine: engine}] = true
	}
	session.Engines = nil
}

// OpenSessions returns the keys of sessions with a call in progress, in order.
func (s *State) OpenSessions() []SessionKey {
	return slices.SortedFunc(maps.Keys(s.Open), CompareKeys)
}

// PendingReleases returns the unconfirmed releases, in order.
func (s *State) PendingReleases() []Release {
	return slices.SortedFunc(maps.Keys(s.Releases), func(a, b Release) int {
		if order := CompareKeys(a.Key, b.Key); order != 0 {
			return order
		}
		return cmp.Compare(a.Engine, b.Engine)
	})
}

// CompareKeys orders session keys.
func CompareKeys(a, b SessionKey) int {
	if order := cmp.Compare(a.Tenant, b.Tenant); order != 0 {
		return order
	}
	return cmp.Compare(a.Session, b.Session)
}
