package bootstrap

import (
	"context"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/backend"
	"swiftbank.dev/swiftbank/internal/peer"
	"swiftbank.dev/swiftbank/internal/registry"
	"swiftbank.dev/swiftbank/internal/route"
	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// fileName is the copy's file; partialSuffix marks one that is being written.
	fileName      = "store-copy"
	partialSuffix = ".partial"
	// writePause is the least pause between two writes of the copy. A large copy, of
	// thousands of instances, is written more seldom: at bytesPerSecond on average.
	writePause     = 300 * time.Millisecond
	bytesPerSecond = 100 << 10
)

// Keeper keeps a copy of what the shared store said. It is safe for concurrent use.
type Keeper struct {
	folder string
	log    *log.Logger

	mu    sync.Mutex
	state State
	// changed is signalled when the copy differs from the file.
	changed chan struct{}
}

// NewKeeper reads the copy in a folder, if there is one.
func NewKeeper(folder string, logger *log.Logger) *Keeper {
	k := &Keeper{folder: folder, log: logger, changed: make(chan struct{}, 1)}
	file, err := os.Open(filepath.Join(folder, fileName))
	if err != nil {
		return k
	}
	defer file.Close()
	var state State
	if err := gob.NewDecoder(file).Decode(&state); err != nil {
		logger.Warn().Str("event", "store_copy_unreadable").Err(err).Msg("")
		return k
	}
	k.state = state
	logger.Info().Str("event", "store_copy_read").Uint64("version", state.Configuration.Version).
		Int("instances", len(state.Instances)).Int("members", len(state.Members)).Msg("")
	return k
}

// ConfigurationChanged takes in a configuration unless the copy has a newer one.
func (k *Keeper) ConfigurationChanged(table *route.Table) {
	k.update(func(state *State) {
		if table.Version > state.Configuration.Version {
			state.Configuration = configurationOf(table)
		}
	})
}

// BackEndsChanged takes in the list of instances. An empty one says that all entries
// lapsed, of which a process that starts learns nothing: the last list is kept.
func (k *Keeper) BackEndsChanged(instances []backend.Instance) {
	if len(instances) > 0 {
		k.update(func(state *State) { state.Instances = instances })
	}
}

// MembersChanged takes in the registry's objects.
func (k *Keeper) MembersChanged(objects []registry.Object) {
	k.update(func(state *State) { state.Members = objects })
}

func (k *Keeper) update(change func(*State)) {
	k.mu.Lock()
	change(&k.state)
	k.mu.Unlock()
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// Copy returns the copy.
func (k *Keeper) Copy() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state
}

// Serve hands the copy to those who ask, and writes it to the disk, until the context
// ends.
func (k *Keeper) Serve(ctx context.Context, address string) error {
	listener, err := peer.Listen(ctx, address)
	if err != nil {
		return fmt.Errorf("bootstrap: %w", err)
	}
	go k.write(ctx)
	serve(ctx, listener, func(asking string) State {
		k.log.Info().Str("event", "store_copy_asked").Str("peer", asking).Msg("")
		return k.Copy()
	})
	return nil
}

// write writes the copy after changes. A disk that fails leaves the older copy.
func (k *Keeper) write(ctx context.Context) {
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.changed:
		}
		size, err := k.save()
		if (err != nil) != failing {
			failing = err != nil
			k.log.Warn().Str("event", "store_copy_written").Bool("failing", failing).AnErr("error", err).Msg("")
		}
		wait.For(ctx, max(writePause, time.Duration(size)*time.Second/bytesPerSecond))
	}
}

// save writes the copy to a file of its own, which then takes the old one's place: a loss
// of power leaves one of them whole.
func (k *Keeper) save() (size int64, err error) {
	path := filepath.Join(k.folder, fileName)
	file, err := os.Create(path + partialSuffix)
	if err != nil {
		return 0, fmt.Errorf("bootstrap: %w", err)
	}
	defer file.Close()
	if err := gob.NewEncoder(file).Encode(k.Copy()); err != nil {
		return 0, fmt.Errorf("bootstrap: %w", err)
	}
	if err := file.Sync(); err != nil {
		return 0, fmt.Errorf("bootstrap: %w", err)
	}
	if info, err := file.Stat(); err == nil {
		size = info.Size()
	}
	if err := os.Rename(path+partialSuffix, path); err != nil {
		return size, fmt.Errorf("bootstrap: %w", err)
	}
	return size, nil
}
