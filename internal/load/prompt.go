package load

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	Stream    bool          `json:"stream,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

const filler = "The vessel lay alongside and the berth record was kept. "

// prompt is the last message of a job: no other job of any run has the same.
func (j Job) prompt(run string) string {
	text := fmt.Sprintf("run %s request %d. ", run, j.Seq)
	if missing := j.Work.PromptBytes - len(text); missing > 0 {
		text += strings.Repeat(filler, missing/len(filler)+1)[:missing]
	}
	return text
}

// prefix is the first message, alike for all jobs of a kind.
func (j Job) prefix() string {
	return "You work for " + j.Work.Organisation + " on " + j.Work.Class + "."
}

// prefixHash names it to an engine's cache, as the router does.
func (j Job) prefixHash() uint64 { return xxhash.Sum64String(j.prefix()) }

// body is the chat request of a job for a model or version. The first message
// is shared by all jobs of its kind, as a prefix that engines can cache.
func (j Job) body(run, model string) ([]byte, error) {
	return json.Marshal(chatBody{
		Model: model,
		Messages: []chatMessage{
			{Role: "system", Content: j.prefix()},
			{Role: "user", Content: j.prompt(run)},
		},
		Stream:    j.Work.Stream,
		MaxTokens: j.Work.MaxTokens,
	})
}
