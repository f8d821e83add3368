// Package gateway implements the proxy between callers and back ends. It matches each
// request with a route, selects an instance, forwards the request and its answer, stores
// the turns of retained routes and the token budgets of programs on the replicas, and
// refuses what it cannot serve with a verdict on whether the request may have run.
package gateway

// Dialect holds the names of the headers and paths that callers and instances use.
type Dialect struct {
	// RequestID identifies a caller's attempt; instances repeat it in their answers.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// ExpectedInstance names the instance that a request is for; every other instance refuses it.
	ExpectedInstance string
	// NotExecuted is set by an instance that did not run the request.
	NotExecuted string
	// Signature is set by instances on their answers.
	Signature string
	// Program names the program of the request; ProgramDeadline is the time that the program
	// has left, in milliseconds.
	Program         string
	ProgramDeadline string
	// Session names the line of turns that the request belongs to.
	Session string
	// TokenBudget is the number of tokens that all turns of the program may generate.
	TokenBudget string
	// TokenCount is "PROMPT,MAX": the prompt's tokens and the most tokens to generate.
	TokenCount string
	// PreviousTurn is the request id of the turn that this one continues.
	PreviousTurn string
	// PromptPrefix lists the parts of the prompt as ID:TOKENS, separated by commas.
	PromptPrefix string
	LengthHint   string
	// Priority is the request's rank at the instance, from 0 to 9; 0 is the most urgent.
	Priority string
	// LastEvent is the id of the last event received; it resumes a stream.
	LastEvent string
	// Resumes is the id of the caller's attempt that returned the first event of the stream that the
	// request resumes.
	Resumes string
	// Authorization carries the caller's key; Tenant tells instances the name of the tenant
	// that holds it.
	Authorization string
	Tenant        string
	// EngineControlHeaders reserve, keep or move an engine's memory. They are never forwarded
	// from callers, who could fill the memory of all engines with them.
	EngineControlHeaders []string
	// ReadyPath reports whether the gateway accepts new callers.
	ReadyPath string
}
