// Package gateway is the process between callers and back ends. It matches each
// request with a route, chooses an instance, passes request and answer on, keeps
// the turns of retained routes and the token budgets of programs by way of the
// replicas, and refuses with a truthful verdict what it cannot serve.
package gateway

// Dialect names the headers and paths by which callers and instances speak.
type Dialect struct {
	// RequestID names a caller's attempt; instances repeat it in their answers.
	RequestID string
	// Deadline is how long the caller waits, in milliseconds.
	Deadline string
	// ExpectedInstance makes every other instance refuse the request.
	ExpectedInstance string
	// NotExecuted is an instance's word that it did not run the request.
	NotExecuted string
	// Signature marks the answers of instances.
	Signature string
	// Program and ProgramDeadline belong to the program of the request; the deadline
	// is the time left in milliseconds.
	Program         string
	ProgramDeadline string
	// TokenBudget is what all turns of the program may generate.
	TokenBudget string
	// TokenCount is "PROMPT,MOST" of the request.
	TokenCount string
	// PreviousTurn is the request id of the turn this one goes on from.
	PreviousTurn string
	// PromptPrefix lists the parts of the prompt as ID:TOKENS, separated by commas.
	PromptPrefix string
	LengthHint   string
	// Priority is the request's rank at the instance, 0 to 9, 0 first.
	Priority string
	// LastEvent is the id of the last event received, to resume a stream.
	LastEvent string
	// Authorization carries the caller's key; Tenant is the name of the tenant that holds
	// it, as instances are told.
	Authorization string
	Tenant        string
	// EngineControlHeaders reserve, keep or move an engine's memory. Only the product may give
	// them: passed on from callers, they fill the memory of all engines.
	EngineControlHeaders []string
	// ReadyPath answers whether the gateway takes new callers.
	ReadyPath string
}
