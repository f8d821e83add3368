package backend

import "time"

// cacheTTL is how long a prompt part is assumed to stay in an engine's prompt cache.
const cacheTTL = 8 * time.Second

// promptCache is this gateway's estimate of the contents of an engine's prompt cache, by part.
type promptCache map[string]cachedPart

// cachedPart is a prompt part in an engine's cache. The last part of a prompt grows from one
// request to the next.
type cachedPart struct {
	tokens int
	usedAt time.Time
}

func newPromptCache() promptCache { return promptCache{} }

// uncachedTokens returns the tokens that the engine would have to read: a cached part counts only
// if all parts before it are completely cached.
func (c promptCache) uncachedTokens(now time.Time, parts []PromptPart) int {
	uncached, contiguous := 0, true
	for _, part := range parts {
		held := 0
		if cached, exists := c[part.ID]; contiguous && exists && now.Sub(cached.usedAt) < cacheTTL {
			held = min(cached.tokens, part.Tokens)
		}
		uncached += part.Tokens - held
		contiguous = held == part.Tokens
	}
	return uncached
}

// add records the parts of a request that is sent to the engine.
func (c promptCache) add(now time.Time, parts []PromptPart) {
	const sweepSize = 2048
	for _, part := range parts {
		c[part.ID] = cachedPart{tokens: part.Tokens, usedAt: now}
	}
	if len(c) < sweepSize {
		return
	}
	for id, cached := range c {
		if now.Sub(cached.usedAt) >= cacheTTL {
			delete(c, id)
		}
	}
}
