// Package enginemodel is a model of a model engine: continuous batching with
// chunked prefill under a token budget, a prefix cache in blocks with eviction of
// the least recently used, and priorities. It generates no text; it tells when
// tokens would come.
//
// It is a pure state machine on the caller's clock: Submit and Cancel change it,
// NextStep says when Step is due, Step advances it by one step of the batch.
package enginemodel
