package enginemodel

import "time"

// The constants of the model. They describe an 8-billion-parameter model with
// grouped-query attention on one accelerator of the A100 80 GB class, and follow
// from published figures by arithmetic:
//
//   - NVIDIA A100 80 GB data sheet: 2.0 TB/s of memory bandwidth, 312 TFLOPS
//     dense at 16 bits.
//   - Llama 3 8B (Grattafiori et al., 2024): 32 layers, 8 key-value heads of 128
//     values, so 2*32*8*128*2 = 131,072 bytes of KV cache a token; 16 GB of weights.
//   - Sarathi-Serve (Agrawal et al., OSDI 2024): prompts are read in chunks that
//     share each step with decoding, within a token budget a step.
//   - PagedAttention (Kwon et al., SOSP 2023): the cache is kept in blocks. The
//     model uses larger blocks than the paper's 16 tokens, which changes a prompt's
//     cached length by less than one block.
const (
	// BlockTokens is the size of a cache block.
	BlockTokens = 64
	// StepTokenBudget bounds the tokens computed in one step.
	StepTokenBudget = 2048
	// DefaultSlots is the number of sequences that run at once.
	DefaultSlots = 48
	// DefaultCacheTokens is the KV memory: about 52 GB at 131,072 bytes a token.
	DefaultCacheTokens = 400_000

	// stepBase is the time to read 16 GB of weights at 2.0 TB/s.
	stepBase = 8 * time.Millisecond
	// prefillPerToken is 16 GFLOP a token at half of 312 TFLOPS.
	prefillPerToken = 103 * time.Microsecond
	// attentionPerToken is 131,072 bytes at 2.0 TB/s, for each token of context
	// of each running sequence.
	attentionPerToken = 65 * time.Nanosecond
)
