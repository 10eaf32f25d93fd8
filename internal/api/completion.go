package api

import "github.com/hickorybank/hickorybank/internal/request"

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
)

// completion is the answer of the chat completion API, whole or as a chunk.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// Own is what the router adds to the form of the API.
	Own *own `json:"hickorybank,omitempty"`
}

// own is what a caller of the router learns of an answer.
type own struct {
	Version string `json:"version"`
	// CostMicros is in micro-units of currency.
	CostMicros int64 `json:"cost_micros"`
}

func ownOf(a request.Answer) *own { return &own{Version: a.Version, CostMicros: a.Cost} }

type choice struct {
	Index        int      `json:"index"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

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
