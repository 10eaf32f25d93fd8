package upstream

// Chunk is one piece of an engine's answer.
type Chunk struct {
	// Attempt names the attempt that the piece belongs to.
	Attempt string `json:"attempt"`
	// Seq counts the pieces of the attempt from 1.
	Seq  int    `json:"seq"`
	Text string `json:"text,omitempty"`
	// Done marks the last piece; Usage is set on it.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	Usage        Usage  `json:"usage,omitzero"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	InputTokens  int `json:"input_tokens"`
	OutputTokens int `json:"output_tokens"`
	// CachedTokens are those input tokens that the prefix cache held.
	CachedTokens int `json:"cached_tokens"`
}
