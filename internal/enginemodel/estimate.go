package enginemodel

import "time"

// sharedBatch is the number of sequences that share a step's fixed cost when the
// capacity of an engine is estimated.
const sharedBatch = 24

// IdleTime is how long a generation takes on an idle engine on which everything
// but the new tokens of its prompt is cached. It is the bound that no scheduler
// can beat.
func IdleTime(newTokens, promptTokens, outputTokens int64) time.Duration {
	steps := (newTokens + StepTokenBudget - 1) / StepTokenBudget
	prefill := time.Duration(steps)*stepBase + time.Duration(newTokens)*prefillPerToken +
		time.Duration(steps*promptTokens)*attentionPerToken
	perToken := stepBase + time.Duration(promptTokens+outputTokens/2)*attentionPerToken
	return prefill + time.Duration(outputTokens-1)*perToken
}

// SharedSeconds is the engine time that a generation takes of a well-filled
// batch, in seconds, when everything but the new tokens is cached.
func SharedSeconds(newTokens, promptTokens, outputTokens int64) float64 {
	perToken := stepBase/sharedBatch + time.Duration(promptTokens)*attentionPerToken
	return (time.Duration(newTokens)*prefillPerToken + time.Duration(outputTokens)*perToken).Seconds()
}
