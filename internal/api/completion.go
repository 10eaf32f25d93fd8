package api

import "github.com/hickorybank/hickorybank/internal/request"

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
)

// completion is a response of the chat completion API, or one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Extras is the router's extension of the API.
	Extras *extras `json:"hickorybank,omitempty"`
}

// extras is the information on an answer that the router adds to the API.
type extras struct {
	// Version is the model version that answered.
	Version string `json:"version"`
	// CostMicros is the cost in micro-units of currency.
	CostMicros int64 `json:"cost_micros"`
}

// extrasOf returns the router's extension for an answer.
func extrasOf(a request.Answer) *extras { return &extras{Version: a.Version, CostMicros: a.Cost} }

// choice is the only choice of a completion. Message is set in a response, Delta in a
// chunk.
type choice struct {
	Index        int      `json:"index"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// content is a message or a part of it.
type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// usage is the token usage in the form of the API.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func usageOf(a request.Answer) *usage {
	u := a.Usage
	return &usage{
		PromptTokens:     u.InputTokens,
		CompletionTokens: u.OutputTokens,
		TotalTokens:      u.InputTokens + u.OutputTokens,
	}
}
