package load

// Work is one kind of request of a mix.
type Work struct {
	Organisation string `json:"organisation"`
	// Key is the organisation's bearer key.
	Key string `json:"key"`
	// Class is the name of the kind in the report.
	Class string `json:"class"`
	// Weight is the share of the kind relative to the others.
	Weight float64 `json:"weight"`

	// Model is the class, model or version that a chat request names.
	Model string `json:"model,omitempty"`
	// Versions lists the versions that may process the work; the direct lane draws one.
	Versions []string `json:"versions,omitempty"`
	Stream   bool     `json:"stream,omitempty"`
	// PromptBytes is the length of the last message in bytes.
	PromptBytes int `json:"prompt_bytes,omitempty"`
	// MaxTokens limits the length of the answer; 0 leaves it to the engine.
	MaxTokens int `json:"max_tokens,omitempty"`

	// Service, Method and Path describe a service call, if Model is empty.
	Service string `json:"service,omitempty"`
	Method  string `json:"method,omitempty"`
	Path    string `json:"path,omitempty"`

	// DeadlineMillis is the deadline of the work; 0 means two minutes.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
}

// chat reports whether the work is a chat request.
func (w *Work) chat() bool { return w.Model != "" }
