package upstream

// Chunk is one chunk of the streamed answer of an engine.
type Chunk struct {
	// Attempt is the ID of the attempt that the chunk belongs to.
	Attempt string `json:"attempt"`
	// Seq is the number of the chunk in the attempt, counted from 1.
	Seq  int    `json:"seq"`
	Text string `json:"text,omitempty"`
	// Done marks the last chunk, in which Usage is set.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        Usage  `json:"usage,omitzero"`
}

// Usage is the token usage of a request.
type Usage struct {
	InputTokens  int `json:"input_tokens"`
	OutputTokens int `json:"output_tokens"`
	// CachedTokens is the number of input tokens that were in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}
