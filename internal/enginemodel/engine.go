package enginemodel

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Job is one generation.
type Job struct {
	// ID is the request id; a second job with the id of a known one joins it.
	ID      string
	Session string
	Prompt  []Segment
	// AnswerID identifies the generated tokens as a segment of later prompts.
	AnswerID     uint64
	OutputTokens int64
	// Priority puts waiting jobs of a higher value first.
	Priority int
}

// Progress is what Step reports of a job.
type Progress struct {
	ID string
	// FirstToken is set when the first token came in this step.
	FirstToken bool
	// Done is set when the last token came.
	Done         bool
	PromptTokens int64
	CachedTokens int64
	OutputTokens int64
}

// sequence is a job in the engine.
type sequence struct {
	job      Job
	order    uint64
	hashes   []blockHash
	prompt   int64
	cached   int64
	computed int64
	output   int64
}

// Engine is one engine. The zero value is not usable; see New.
type Engine struct {
	slots   int
	cache   *prefixCache
	waiting []*sequence
	running []*sequence
	known   map[string]*sequence
	next    uint64
	// stepEnds is when the step in progress ends; zero when the engine is idle.
	stepEnds time.Time
}

// New returns an idle engine with an empty cache.
func New(slots int, cacheTokens int64) *Engine {
	return &Engine{slots: slots, cache: newPrefixCache(cacheTokens), known: map[string]*sequence{}}
}

// Submit adds a job. It reports false when the job is already running.
func (e *Engine) Submit(now time.Time, job Job) bool {
	if e.known[job.ID] != nil {
		return false
	}
	e.next++
	added := &sequence{job: job, order: e.next, hashes: chain(job.Prompt)}
	for _, segment := range job.Prompt {
		added.prompt += segment.Tokens
	}
	e.known[job.ID] = added
	e.waiting = append(e.waiting, added)
	if e.stepEnds.IsZero() {
		e.beginStep(now)
	}
	return true
}

// Cancel drops a job; what it computed stays cached.
func (e *Engine) Cancel(id string) {
	dropped := e.known[id]
	if dropped == nil {
		return
	}
	delete(e.known, id)
	same := func(s *sequence) bool { return s == dropped }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
}

// Release drops the cache that only this session used.
func (e *Engine) Release(session string) { e.cache.release(session) }

// Holds returns the sessions with cache of their own, in order.
func (e *Engine) Holds() []string {
	return slices.Sorted(maps.Keys(e.cache.owned))
}

// HeldTokens returns how many tokens of cache a session holds alone.
func (e *Engine) HeldTokens(session string) int64 {
	return int64(e.cache.owned[session]) * BlockTokens
}

// Load returns the jobs running and waiting, and the cache in use in tokens.
func (e *Engine) Load() (running, waiting int, cachedTokens int64) {
	return len(e.running), len(e.waiting), int64(len(e.cache.blocks)) * BlockTokens
}

// NextStep returns when Step is due, or false when the engine is idle.
func (e *Engine) NextStep() (time.Time, bool) {
	return e.stepEnds, !e.stepEnds.IsZero()
}

// beginStep admits waiting jobs and sets the end of the next step.
func (e *Engine) beginStep(now time.Time) {
	e.admit()
	if len(e.running) == 0 {
		e.stepEnds = time.Time{}
		return
	}
	e.stepEnds = now.Add(e.stepDuration())
}

func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int {
		if order := cmp.Compare(b.job.Priority, a.job.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.order, b.order)
	})
	for len(e.waiting) > 0 && len(e.running) < e.slots && e.fits(e.waiting[0]) {
		admitted := e.waiting[0]
		e.waiting = e.waiting[1:]
		cached := int64(e.cache.match(admitted.job.Session, admitted.hashes)) * BlockTokens
		// The last token is always computed, for its logits begin the answer.
		admitted.cached = min(cached, admitted.prompt-1)
		admitted.computed = admitted.cached
		e.running = append(e.running, admitted)
	}
}

// fits reports whether the running sequences leave memory for another. One that
// is larger than all memory runs alone.
func (e *Engine) fits(candidate *sequence) bool {
	needed := candidate.prompt + candidate.job.OutputTokens
	for _, s := range e.running {
		needed += s.prompt + s.job.OutputTokens
	}
	return len(e.running) == 0 || needed <= int64(e.cache.capacity)*BlockTokens
}

// stepDuration is the time of the step that begins now.
func (e *Engine) stepDuration() time.Duration {
	prefill, context := int64(0), int64(0)
	for _, chunk := range e.plan() {
		context += chunk.sequence.computed + chunk.sequence.output
		if chunk.prefill {
			prefill += chunk.tokens
		}
	}
	return stepBase + time.Duration(prefill)*prefillPerToken + time.Duration(context)*attentionPerToken
}

// chunk is one sequence's part of a step.
type chunk struct {
	sequence *sequence
	tokens   int64
	prefill  bool
}

// plan shares the step's token budget: decoding first, then prompts in order of
// priority and admission.
func (e *Engine) plan() []chunk {
	budget := int64(StepTokenBudget)
	var chunks []chunk
	for _, s := range e.running {
		if s.computed >= s.prompt {
			chunks = append(chunks, chunk{sequence: s, tokens: 1})
			budget--
		}
	}
	for _, s := range e.running {
		if s.computed < s.prompt && budget > 0 {
			take := min(budget, s.prompt-s.computed)
			chunks = append(chunks, chunk{sequence: s, tokens: take, prefill: true})
			budget -= take
		}
	}
	return chunks
}

// Step ends the step that is due and begins the next one.
func (e *Engine) Step(now time.Time) []Progress {
	var reports []Progress
	for _, c := range e.plan() {
		if report, notable := e.advance(c); notable {
			reports = append(reports, report)
		}
	}
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool { return s.output >= s.job.OutputTokens })
	e.beginStep(now)
	return reports
}

// advance applies a chunk. The end of a prompt yields the first token.
func (e *Engine) advance(c chunk) (Progress, bool) {
	s := c.sequence
	first := false
	if c.prefill {
		s.computed += c.tokens
		if s.computed < s.prompt {
			return Progress{}, false
		}
		e.cache.insert(s.job.Session, s.hashes)
		s.output = 1
		first = true
	} else {
		s.output++
	}
	done := s.output >= s.job.OutputTokens
	if done {
		e.finish(s)
	}
	return Progress{
		ID: s.job.ID, FirstToken: first, Done: done,
		PromptTokens: s.prompt, CachedTokens: s.cached, OutputTokens: s.output,
	}, first || done
}

// finish caches the answer's tokens behind the prompt's.
func (e *Engine) finish(s *sequence) {
	delete(e.known, s.job.ID)
	whole := append(slices.Clone(s.job.Prompt), Segment{ID: s.job.AnswerID, Tokens: s.output})
	e.cache.insert(s.job.Session, chain(whole))
}
