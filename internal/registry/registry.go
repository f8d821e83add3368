// Package registry is what the product needs of a shared, linearizable store of
// small objects: the list of its own nodes and the membership of the replica set.
// The platform's store implements it; tests use the one in memory.
package registry

import (
	"context"
	"errors"
)

// ErrConflict says that the object is not at the expected revision. The caller
// reads it again and decides anew.
var ErrConflict = errors.New("registry: the object has another revision")

// ErrNotFound says that there is no such object.
var ErrNotFound = errors.New("registry: no such object")

// Object is one stored object.
type Object struct {
	Name string
	// Revision rises with every change; it is the condition of a Replace.
	Revision uint64
	Value    []byte
}

// Registry is a linearizable store of objects. Any error other than ErrConflict
// and ErrNotFound leaves open whether a write took effect, now or seconds later.
type Registry interface {
	Get(ctx context.Context, name string) (Object, error)
	// Create makes an object that must not exist.
	Create(ctx context.Context, name string, value []byte) error
	// Replace changes an object that must be at the given revision.
	Replace(ctx context.Context, name string, value []byte, revision uint64) error
}
