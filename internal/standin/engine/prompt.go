package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"
)

// digestLength is the number of hex digits in a digest.
const digestLength = 16

// chatRequest holds the fields of a chat completion request that the stand-in uses.
type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Text string `json:"text"`
}

// Digest returns the identifier of a prompt in answers and runs: the first 16 hex digits
// of the SHA-256 of content, the text of the last user message.
func Digest(content string) string {
	sum := sha256.Sum256([]byte(content))
	return hex.EncodeToString(sum[:])[:digestLength]
}

// FirstText returns the text of the first chunk of an answer. It contains the version,
// the digest of the prompt and the attempt ID.
func FirstText(version, digest, attempt string) string {
	return fmt.Sprintf("[%s %s %s] ", version, digest, attempt)
}

// charsPerToken is the common estimate for English text.
const charsPerToken = 4

// inputTokens estimates the length of the prompt in tokens.
func (r chatRequest) inputTokens() int {
	n := 0
	for _, m := range r.Messages {
		n += len(m.Content)
	}
	return n/charsPerToken + 1
}

func parseChat(body []byte) (chatRequest, error) {
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return chatRequest{}, eris.Wrap(err, "chat request")
	}
	if req.Model == "" {
		return chatRequest{}, eris.New("chat request names no model")
	}
	if len(req.Messages) == 0 {
		return chatRequest{}, eris.New("chat request has no messages")
	}
	return req, nil
}

// lastUser returns the text of the last user message, or of the last message if there is
// no user message.
func (r chatRequest) lastUser() string {
	for i := len(r.Messages) - 1; i >= 0; i-- {
		if r.Messages[i].Role == "user" {
			return r.Messages[i].text()
		}
	}
	return r.Messages[len(r.Messages)-1].text()
}

// text returns the content as one string. A list of parts is concatenated; any other
// content is returned as raw JSON.
func (m chatMessage) text() string {
	var s string
	if json.Unmarshal(m.Content, &s) == nil {
		return s
	}
	var parts []contentPart
	if json.Unmarshal(m.Content, &parts) != nil {
		return string(m.Content)
	}
	for _, p := range parts {
		s += p.Text
	}
	return s
}
