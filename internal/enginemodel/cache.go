package enginemodel

import "container/list"

// Segment is a run of tokens with an identity: equal segments in equal order are
// an equal prefix.
type Segment struct {
	ID     uint64
	Tokens int64
}

// blockHash folds a block's content and all before it into one number (FNV-1a
// over words, as prefix caches chain their block hashes).
type blockHash uint64

const (
	hashOffset = 14695981039346656037
	hashPrime  = 1099511628211
)

func fold(hash blockHash, word uint64) blockHash {
	return (hash ^ blockHash(word)) * hashPrime
}

// chain returns the hashes of a prompt's whole blocks.
func chain(segments []Segment) []blockHash {
	var hashes []blockHash
	hash := blockHash(hashOffset)
	filled := int64(0)
	for _, segment := range segments {
		for offset := int64(0); offset < segment.Tokens; {
			take := min(segment.Tokens-offset, BlockTokens-filled)
			hash = fold(fold(hash, segment.ID), uint64(offset)<<16|uint64(take))
			offset += take
			filled += take
			if filled == BlockTokens {
				hashes = append(hashes, hash)
				filled = 0
			}
		}
	}
	return hashes
}

// block is one cached block.
type block struct {
	hash blockHash
	// owner is the session that computed it; a block found by another session
	// becomes shared and has no owner.
	owner string
	place *list.Element
}

// prefixCache holds blocks and evicts the least recently used.
type prefixCache struct {
	capacity int
	blocks   map[blockHash]*block
	// recent orders the blocks, the most recently used first.
	recent *list.List
	// owned counts the blocks of each session.
	owned map[string]int
}

func newPrefixCache(tokens int64) *prefixCache {
	return &prefixCache{
		capacity: int(tokens / BlockTokens), blocks: map[blockHash]*block{},
		recent: list.New(), owned: map[string]int{},
	}
}

// match returns how many leading blocks are cached, and touches them.
func (c *prefixCache) match(session string, hashes []blockHash) int {
	for place, hash := range hashes {
		found := c.blocks[hash]
		if found == nil {
			return place
		}
		c.recent.MoveToFront(found.place)
		if found.owner != "" && found.owner != session {
			c.disown(found)
		}
	}
	return len(hashes)
}

func (c *prefixCache) disown(b *block) {
	c.owned[b.owner]--
	if c.owned[b.owner] == 0 {
		delete(c.owned, b.owner)
	}
	b.owner = ""
}

// insert caches blocks for a session and makes room for them.
func (c *prefixCache) insert(session string, hashes []blockHash) {
	for _, hash := range hashes {
		if found := c.blocks[hash]; found != nil {
			c.recent.MoveToFront(found.place)
			continue
		}
		added := &block{hash: hash, owner: session}
		added.place = c.recent.PushFront(added)
		c.blocks[hash] = added
		c.owned[session]++
	}
	for len(c.blocks) > c.capacity {
		if !c.evictOne() {
			return
		}
	}
}

func (c *prefixCache) evictOne() bool {
	oldest := c.recent.Back()
	if oldest == nil {
		return false
	}
	c.remove(oldest.Value.(*block))
	return true
}

func (c *prefixCache) remove(b *block) {
	c.recent.Remove(b.place)
	delete(c.blocks, b.hash)
	if b.owner != "" {
		c.disown(b)
	}
}

// release drops all blocks that only one session used.
func (c *prefixCache) release(session string) {
	if c.owned[session] == 0 {
		return
	}
	for element := c.recent.Front(); element != nil; {
		next := element.Next()
		if b := element.Value.(*block); b.owner == session {
			c.remove(b)
		}
		element = next
	}
}
