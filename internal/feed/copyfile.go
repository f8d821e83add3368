package feed

import (
	"context"
	"encoding/gob"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/phuslu/log"

	"swiftbank.dev/swiftbank/internal/wait"
)

const (
	// copyName is the name of the file; partialSuffix marks a file that is being written.
	copyName      = "store-copy"
	partialSuffix = ".partial"
	// minCopyInterval is the minimum pause between two writes of the copy. A large copy, with
	// thousands of instances, is written less often, at copyBytesPerSecond on average, to
	// leave disk bandwidth for storing turns.
	minCopyInterval    = 300 * time.Millisecond
	copyBytesPerSecond = 100 << 10
	// copyMode restricts the file to the user of the process because it names the tenants.
	copyMode = 0o600
)

// CopyFile keeps a copy of a replica's cache on disk, so that a fleet that starts while the
// store is unavailable can serve from it.
type CopyFile struct {
	folder string
	log    *log.Logger
	// lastInstances is the last non-empty list of instances. An empty list, after all entries
	// have expired, would be of no use to a starting process.
	lastInstances *Batch
}

// NewCopyFile returns the copy in a directory.
func NewCopyFile(folder string, logger *log.Logger) *CopyFile {
	return &CopyFile{folder: folder, log: logger}
}

// Load reads the copy. It returns nil if the file is missing or cannot be decoded.
func (c *CopyFile) Load() []Batch {
	file, err := os.Open(filepath.Join(c.folder, copyName))
	if err != nil {
		if !os.IsNotExist(err) {
			c.log.Warn().Str("event", "store_copy_unreadable").Err(err).Msg("")
		}
		return nil
	}
	defer file.Close()
	var batches []Batch
	if err := gob.NewDecoder(file).Decode(&batches); err != nil {
		c.log.Warn().Str("event", "store_copy_unreadable").Err(err).Msg("")
		return nil
	}
	c.keepInstances(batches)
	records := 0
	for _, batch := range batches {
		records += len(batch.Records)
	}
	c.log.Info().Str("event", "store_copy_read").Int("kinds", len(batches)).Int("records", records).Msg("")
	return batches
}

// Run writes the copy after each change until the context ends. When a write fails the
// previous copy remains.
func (c *CopyFile) Run(ctx context.Context, node *Node) {
	failing := false
	var written Positions
	for wait.For(ctx, minCopyInterval) {
		positions := node.Positions()
		if positions == written {
			continue
		}
		size, err := c.save(node.Snapshot())
		if err == nil {
			written = positions
		}
		if (err != nil) != failing {
			failing = err != nil
			c.log.Warn().Str("event", "store_copy_written").Bool("failing", failing).AnErr("error", err).Msg("")
		}
		wait.For(ctx, time.Duration(size)*time.Second/copyBytesPerSecond)
	}
}

// save writes the copy to a temporary file and renames it over the old copy, so that a power
// loss leaves one of them intact. It returns the size in bytes.
func (c *CopyFile) save(batches []Batch) (size int64, err error) {
	path := filepath.Join(c.folder, copyName)
	file, err := os.OpenFile(path+partialSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, copyMode)
	if err != nil {
		return 0, fmt.Errorf("feed: write store copy: %w", err)
	}
	defer file.Close()
	if err := gob.NewEncoder(file).Encode(c.keepInstances(batches)); err != nil {
		return 0, fmt.Errorf("feed: write store copy: %w", err)
	}
	if err := file.Sync(); err != nil {
		return 0, fmt.Errorf("feed: write store copy: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		return 0, fmt.Errorf("feed: write store copy: %w", err)
	}
	if err := os.Rename(path+partialSuffix, path); err != nil {
		return info.Size(), fmt.Errorf("feed: write store copy: %w", err)
	}
	return info.Size(), nil
}

// keepInstances replaces an empty list of instances by the last non-empty one, at the revision
// of that list.
func (c *CopyFile) keepInstances(batches []Batch) []Batch {
	for i, batch := range batches {
		switch {
		case batch.Kind != Instances:
		case len(batch.Records) > 0:
			c.lastInstances = &batches[i]
		case c.lastInstances != nil:
			batches[i] = *c.lastInstances
		}
	}
	return batches
}
