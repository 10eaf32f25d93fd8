package load

// Work is one kind of request of a mix.
type Work struct {
	Organisation string `json:"organisation"`
	// Key is the organisation's bearer key.
	Key string `json:"key"`
	// Class names the kind in the report.
	Class string `json:"class"`
	// Weight is the kind's part of the mix relative to the others.
	Weight float64 `json:"weight"`

	// Model is what model work asks for: a class, a model or a version.
	Model string `json:"model,omitempty"`
	// Versions are those that may serve the work; the direct lane takes one.
	Versions []string `json:"versions,omitempty"`
	Stream   bool     `json:"stream,omitempty"`
	// PromptBytes is the length of the last message.
	PromptBytes int `json:"prompt_bytes,omitempty"`
	// MaxTokens bounds the answer; 0 leaves it to the engine.
	MaxTokens int `json:"max_tokens,omitempty"`

	// Service, Method and Path are of a plain service's call, if Model is
	// empty.
	Service string `json:"service,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`

	// DeadlineMillis is how long the work may take; 0 is two minutes.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// chat says whether it is model work.
func (w *Work) chat() bool { return w.Model != "" }
