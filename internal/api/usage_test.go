package api

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// clientChunk is what a client library of the OpenAI API decodes from a chunk or a
// response, with the router's extension.
type clientChunk struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	Model   string `json:"model"`
	Choices []struct {
		Index int `json:"index"`
		Delta struct {
			Role    string `json:"role"`
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	} `json:"usage"`
	Extras *struct {
		Version    string `json:"version"`
		CostMicros int64  `json:"cost_micros"`
	} `json:"hickorybank"`
}

func chunksOf(t *testing.T, body string) []clientChunk {
	t.Helper()
	var chunks []clientChunk
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == "[DONE]\n" {
			continue
		}
		var c clientChunk
		is.New(t).NoErr(json.Unmarshal([]byte(data), &c))
		chunks = append(chunks, c)
	}
	return chunks
}

// Each stream must contain the usage and the cost. The header with the cost is only in
// responses that are not streamed, since a stream sends its headers before the cost is
// known.
func TestStreamEndsWithUsageAndCost(t *testing.T) {
	for _, c := range []struct {
		options  string
		separate bool
	}{
		{"", false},
		{`"stream_options":{"include_usage":true},`, true},
		{`"stream_options":{"include_usage":false},`, false},
		{`"stream_options":null,`, false},
	} {
		t.Run(c.options, func(t *testing.T) {
			is := is.New(t)
			w := send(newFakeRouter(t), "POST", "/v1/chat/completions", `{"stream":true,`+c.options+goodChat[1:])
			is.True(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
			chunks := chunksOf(t, w.Body.String())
			last := chunks[len(chunks)-1]
			is.Equal(last.Usage.PromptTokens, 3)
			is.Equal(last.Usage.CompletionTokens, 2)
			is.Equal(last.Usage.TotalTokens, 5)
			is.Equal(last.Extras.CostMicros, int64(9))
			is.Equal(last.Extras.Version, "dues@1")
			is.Equal(len(last.Choices) == 0, c.separate)
			ends, text := 0, ""
			for i, chunk := range chunks {
				is.Equal(chunk.ID, last.ID)
				is.Equal(chunk.Usage != nil, i == len(chunks)-1)
				for _, choice := range chunk.Choices {
					text += choice.Delta.Content
					if choice.FinishReason != nil {
						ends++
					}
				}
			}
			is.Equal(text, "one two")
			is.Equal(ends, 1)
		})
	}
}

// The body of a response must contain the usage and the cost.
func TestResponseContainsUsageAndCost(t *testing.T) {
	is := is.New(t)
	w := send(newFakeRouter(t), "POST", "/v1/chat/completions", goodChat)
	var c clientChunk
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &c))
	is.Equal(c.Extras.CostMicros, int64(9))
	is.Equal(c.Usage.TotalTokens, 5)
}
