package replicaset

import (
	"context"
	"encoding/json"
	"errors"
	"reflect"
	"time"

	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// nodePrefix is the prefix of the names of the objects that describe nodes.
	nodePrefix = "node-"
	// attemptTimeout bounds one attempt to register.
	attemptTimeout = 2 * time.Second
	// retryDelay is the pause after a failed attempt.
	retryDelay = 200 * time.Millisecond
)

// LookupCached returns a registry object from the process's local view, without a call.
type LookupCached func(name string) (registry.Object, bool)

// Register writes a node's description to the registry. It retries until it succeeds or the context
// ends, and calls onError after each failed attempt. It makes no call if the local view already
// contains the description.
func Register(ctx context.Context, objects registry.Registry, node Node, lookup LookupCached, onError func(error)) {
	content, _ := json.Marshal(node) // plain strings always encode
	name := nodePrefix + node.Name
	for ctx.Err() == nil {
		err := createOrReplace(ctx, objects, name, content, lookup)
		if err == nil {
			return
		}
		onError(err)
		wait.For(ctx, retryDelay)
	}
}

// createOrReplace creates an object, or replaces the existing one.
func createOrReplace(ctx context.Context, objects registry.Registry, name string, content []byte, lookup LookupCached) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	current, exists := lookup(name)
	if !exists {
		err := objects.Create(ctx, name, content)
		if !errors.Is(err, registry.ErrConflict) {
			return err
		}
		if current, err = objects.Get(ctx, name); err != nil {
			return err
		}
	}
	if sameDescription(current.Value, content) {
		return nil
	}
	err := objects.Replace(ctx, name, content, current.Revision)
	if !errors.Is(err, registry.ErrConflict) {
		return err
	}
	if current, err = objects.Get(ctx, name); err != nil {
		return err
	}
	return objects.Replace(ctx, name, content, current.Revision)
}

// sameDescription reports whether two descriptions of nodes are equal after decoding, because the
// registry may encode the same one differently.
func sameDescription(a, b []byte) bool {
	var first, second Node
	if json.Unmarshal(a, &first) != nil || json.Unmarshal(b, &second) != nil {
		return false
	}
	return reflect.DeepEqual(first, second)
}
