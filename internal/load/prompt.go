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

// prompt returns the last message of a job. It is unique over all jobs and runs, so
// that the answer identifies the request.
func (j Job) prompt(run string) string {
	text := fmt.Sprintf("run %s request %d. ", run, j.Seq)
	if missing := j.Work.PromptBytes - len(text); missing > 0 {
		text += strings.Repeat(filler, missing/len(filler)+1)[:missing]
	}
	return text
}

// prefix returns the first message, which all jobs of an organisation and class share.
func (j Job) prefix() string {
	return "You work for " + j.Work.Organisation + " on " + j.Work.Class + "."
}

// prefixHash returns the hash by which the router names the prefix to an engine's
// cache.
func (j Job) prefixHash() uint64 { return xxhash.Sum64String(j.prefix()) }

// body returns the chat request of a job for a model or version. Its first message is a
// shared prefix that engines can cache.
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
