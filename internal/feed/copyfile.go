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
	// copyName is the copy's file; partialSuffix marks one that is being written.
	copyName      = "store-copy"
	partialSuffix = ".partial"
	// copyPause is the least pause between two writes of the copy. A large copy, of
	// thousands of instances, is written more seldom: at copyBytesPerSecond on average,
	// which leaves the disk to the turns.
	copyPause          = 300 * time.Millisecond
	copyBytesPerSecond = 100 << 10
	// copyMode lets only the product's own user read who the tenants are.
	copyMode = 0o600
)

// CopyFile keeps on a disk what a replica knows of the store, so that a fleet that starts
// while the store is away has something to serve from.
type CopyFile struct {
	folder string
	log    *log.Logger
	// instances is the last list that was not empty: entries that all lapsed say nothing
	// to a process that starts.
	instances *Batch
}

// NewCopyFile returns the copy in a folder.
func NewCopyFile(folder string, logger *log.Logger) *CopyFile {
	return &CopyFile{folder: folder, log: logger}
}

// Load reads the copy; one that is missing or torn holds nothing.
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
	c.withInstances(batches)
	records := 0
	for _, batch := range batches {
		records += len(batch.Records)
	}
	c.log.Info().Str("event", "store_copy_read").Int("kinds", len(batches)).Int("records", records).Msg("")
	return batches
}

// Run writes the copy after changes until the context ends. A disk that fails leaves the
// older copy.
func (c *CopyFile) Run(ctx context.Context, node *Node) {
	failing := false
	var written Positions
	for wait.For(ctx, copyPause) {
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

// save writes the copy to a file of its own, which then takes the old one's place: a loss
// of power leaves one of them whole.
func (c *CopyFile) save(batches []Batch) (size int64, err error) {
	path := filepath.Join(c.folder, copyName)
	file, err := os.OpenFile(path+partialSuffix, os.O_RDWR|os.O_CREATE|os.O_TRUNC, copyMode)
	if err != nil {
		return 0, fmt.Errorf("feed: copy: %w", err)
	}
	defer file.Close()
	if err := gob.NewEncoder(file).Encode(c.withInstances(batches)); err != nil {
		return 0, fmt.Errorf("feed: copy: %w", err)
	}
	if err := file.Sync(); err != nil {
		return 0, fmt.Errorf("feed: copy: %w", err)
	}
	info, err := file.Stat()
	if err != nil {
		return 0, fmt.Errorf("feed: copy: %w", err)
	}
	if err := os.Rename(path+partialSuffix, path); err != nil {
		return info.Size(), fmt.Errorf("feed: copy: %w", err)
	}
	return info.Size(), nil
}

// withInstances puts the last list of instances that was not empty in place of an empty
// one, at its own revision.
func (c *CopyFile) withInstances(batches []Batch) []Batch {
	for i, batch := range batches {
		switch {
		case batch.Kind != Instances:
		case len(batch.Records) > 0:
			c.instances = &batches[i]
		case c.instances != nil:
			batches[i] = *c.instances
		}
	}
	return batches
}
