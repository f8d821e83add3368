package replicaset

import (
	"context"
	"encoding/json"
	"errors"
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

// Register writes a node's description under its name until that has succeeded.
func Register(ctx context.Context, objects registry.Registry, node Node, failed func(error)) {
	content, _ := json.Marshal(node) // plain strings always encode
	name := nodePrefix + node.Name
	for ctx.Err() == nil {
		err := put(ctx, objects, name, content)
		if err == nil {
			return
		}
		failed(err)
		wait.For(ctx, registryRetry)
	}
}

// put creates an object, or replaces the one that is there.
func put(ctx context.Context, objects registry.Registry, name string, content []byte) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	err := objects.Create(ctx, name, content)
	if !errors.Is(err, registry.ErrConflict) {
		return err
	}
	present, err := objects.Get(ctx, name)
	if err != nil {
		return err
	}
	return objects.Replace(ctx, name, content, present.Revision)
}
