package backend

import "time"

// cacheLife is how long a prompt part is believed to stay in an engine's memory.
const cacheLife = 8 * time.Second

// promptCache is what this gateway believes an engine's memory to hold, by part.
type promptCache map[string]cachedPart

// cachedPart is a part of a prompt in an engine's memory. The last part of a prompt
// grows from one request to the next.
type cachedPart struct {
	tokens int
	usedAt time.Time
}

func newPromptCache() promptCache { return promptCache{} }

// missing returns the tokens that the engine would have to read: what is held of a part
// counts only if all before it is held whole.
func (c promptCache) missing(now time.Time, parts []PromptPart) int {
	missing, intact := 0, true
	for _, part := range parts {
		held := 0
		if known, exists := c[part.ID]; intact && exists && now.Sub(known.usedAt) < cacheLife {
			held = min(known.tokens, part.Tokens)
		}
		missing += part.Tokens - held
		intact = held == part.Tokens
	}
	return missing
}

// add notes the parts of a request that goes to the engine.
func (c promptCache) add(now time.Time, parts []PromptPart) {
	const sweepSize = 2048
	for _, part := range parts {
		c[part.ID] = cachedPart{tokens: part.Tokens, usedAt: now}
	}
	if len(c) < sweepSize {
		return
	}
	for id, known := range c {
		if now.Sub(known.usedAt) >= cacheLife {
			delete(c, id)
		}
	}
}
