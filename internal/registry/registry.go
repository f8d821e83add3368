// Package registry defines the interface of a shared, linearizable store of small objects,
// which holds the list of the product's nodes and the membership of the replica set. The
// platform's store implements it; tests use an implementation in memory.
package registry

import (
	"context"
	"errors"
)

// ErrConflict is returned if the object is not at the expected revision. The caller must read
// it again and decide on the new state.
var ErrConflict = errors.New("registry: the object has another revision")

// ErrNotFound is returned if the object does not exist.
var ErrNotFound = errors.New("registry: no such object")

// Object is one stored object.
type Object struct {
	Name string
	// Revision increases with every change and is the precondition of Replace.
	Revision uint64
	Value    []byte
}

// Registry is a linearizable store of objects. After any error other than ErrConflict and
// ErrNotFound, a write may have taken effect or may still do so seconds later.
type Registry interface {
	Get(ctx context.Context, name string) (Object, error)
	// Create stores a new object. It returns ErrConflict if the object exists.
	Create(ctx context.Context, name string, value []byte) error
	// Replace updates an object if it is at the given revision, else returns ErrConflict.
	Replace(ctx context.Context, name string, value []byte, revision uint64) error
}
