package dev

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sashabaranov/go-openai"

	"github.com/hickorybank/hickorybank/internal/example"
)

// newOpenAIClient returns a client of the unmodified OpenAI library for the first entry node.
func newOpenAIClient(t *testing.T, d *Deployment, key string) *openai.Client {
	t.Helper()
	transport := new(http.Transport)
	t.Cleanup(transport.CloseIdleConnections)
	c := openai.DefaultConfig(key)
	c.BaseURL = d.BaseURL() + "/v1"
	c.HTTPClient = &http.Client{Transport: transport}
	return openai.NewClientWithConfig(c)
}

func chatRequest(model string) openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model: model,
		Messages: []openai.ChatCompletionMessage{
			{Role: openai.ChatMessageRoleSystem, Content: "You draft dues statements."},
			{Role: openai.ChatMessageRoleUser, Content: "Hello."},
		},
		Temperature: 0.5,
	}
}

// answerDigest is the beginning of the stand-in's answer to "Hello.".
const answerDigest = "2d8bd7d9bb5f85ba"

// An application that uses the OpenAI library must work if only its base URL and key are changed.
// That covers the list of models, complete answers, streams and errors.
func TestUnmodifiedOpenAILibrary(t *testing.T) {
	d := startDeployment(t, "tarifas")
	c := newOpenAIClient(t, d, example.DemoKey("tolu"))
	ctx := context.Background()

	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		list, err := c.ListModels(ctx)
		is.NoErr(err)
		var names []string
		for _, m := range list.Models {
			names = append(names, m.ID)
		}
		for _, name := range []string{"dues", "dues@1", "draft"} { // a model, a version, a class
			is.True(strings.Contains(" "+strings.Join(names, " ")+" ", " "+name+" "))
		}
	})
	t.Run("whole", func(t *testing.T) {
		for _, model := range []string{"draft", "dues", "dues@2"} {
			is := is.New(t)
			got, err := c.CreateChatCompletion(ctx, chatRequest(model))
			is.NoErr(err)
			is.Equal(len(got.Choices), 1)
			is.True(strings.Contains(got.Choices[0].Message.Content, answerDigest))
			is.True(strings.HasSuffix(got.Choices[0].Message.Content, "t2 t3 t4 t5 "))
			is.Equal(got.Choices[0].FinishReason, openai.FinishReasonStop)
			is.Equal(got.Usage.CompletionTokens, 5)
			is.True(strings.HasPrefix(got.Model, "dues@")) // the version that answered
		}
	})
	t.Run("stream", func(t *testing.T) {
		is := is.New(t)
		text, last := readAll(t, c, chatRequest("dues@1"))
		is.True(strings.Contains(text, answerDigest))
		is.True(strings.HasSuffix(text, "t2 t3 t4 t5 "))
		is.Equal(last.Choices[0].FinishReason, openai.FinishReasonStop)
		is.Equal(last.Usage.CompletionTokens, 5)
	})
	t.Run("errors", func(t *testing.T) {
		for _, e := range []struct {
			key, model string
			status     int
			code       string
		}{
			{"nobody", "draft", http.StatusUnauthorized, "invalid_api_key"},
			{example.DemoKey("tolu"), "gpt-9", http.StatusNotFound, "model_not_found"},
			{example.DemoKey("tolu"), "", http.StatusBadRequest, "bad_request"},
		} {
			is := is.New(t)
			_, err := newOpenAIClient(t, d, e.key).CreateChatCompletion(ctx, chatRequest(e.model))
			var apiErr *openai.APIError
			is.True(errors.As(err, &apiErr)) // the library decoded the error
			is.Equal(apiErr.HTTPStatusCode, e.status)
			is.Equal(apiErr.Code, e.code)
			_, err = newOpenAIClient(t, d, e.key).CreateChatCompletionStream(ctx, chatRequest(e.model))
			is.True(errors.As(err, &apiErr))
			is.Equal(apiErr.HTTPStatusCode, e.status)
		}
	})
}

func readAll(t *testing.T, c *openai.Client, r openai.ChatCompletionRequest) (string, openai.ChatCompletionStreamResponse) {
	t.Helper()
	is := is.New(t)
	stream, err := c.CreateChatCompletionStream(context.Background(), r)
	is.NoErr(err)
	defer stream.Close()
	var text strings.Builder
	var last openai.ChatCompletionStreamResponse
	for {
		chunk, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return text.String(), last
		}
		is.NoErr(err)
		text.WriteString(chunk.Choices[0].Delta.Content)
		last = chunk
	}
}
