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
	// nodePrefix begins the names of the objects in which nodes describe themselves.
	nodePrefix = "node-"
	// registryTimeout bounds one try to register.
	registryTimeout = 2 * time.Second
	// registryRetry is the pause after a failed try.
	registryRetry = 200 * time.Millisecond
)

// LookupCached returns a registry object as far as a process knows it without a call.
type LookupCached func(name string) (registry.Object, bool)

// Register writes a node's description under its name until that has succeeded. It makes
// no call when the registry is known to hold it.
func Register(ctx context.Context, objects registry.Registry, node Node, known LookupCached, failed func(error)) {
	content, _ := json.Marshal(node) // plain strings always encode
	name := nodePrefix + node.Name
	for ctx.Err() == nil {
		err := put(ctx, objects, name, content, known)
		if err == nil {
			return
		}
		failed(err)
		wait.For(ctx, registryRetry)
	}
}

// put creates an object, or replaces the one that is there.
func put(ctx context.Context, objects registry.Registry, name string, content []byte, known LookupCached) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	present, exists := known(name)
	if !exists {
		err := objects.Create(ctx, name, content)
		if !errors.Is(err, registry.ErrConflict) {
			return err
		}
		if present, err = objects.Get(ctx, name); err != nil {
			return err
		}
	}
	if sameDescription(present.Value, content) {
		return nil
	}
	err := objects.Replace(ctx, name, content, present.Revision)
	if !errors.Is(err, registry.ErrConflict) {
		return err
	}
	if present, err = objects.Get(ctx, name); err != nil {
		return err
	}
	return objects.Replace(ctx, name, content, present.Revision)
}

// sameDescription compares two descriptions of nodes by what they say: the registry may
// have written one in another way.
func sameDescription(a, b []byte) bool {
	var first, second Node
	if json.Unmarshal(a, &first) != nil || json.Unmarshal(b, &second) != nil {
		return false
	}
	return reflect.DeepEqual(first, second)
}
