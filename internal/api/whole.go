package api

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/request"
)

// bufferedSink implements [request.Sink] and buffers an answer that is sent in one
// response.
type bufferedSink struct {
	head request.Head
	text strings.Builder
}

// Streams returns false: the answer is sent in one response.
func (s *bufferedSink) Streams() bool { return false }

// Begin stores the head for the headers.
func (s *bufferedSink) Begin(h request.Head) { s.head = h }

// Text appends the text of one chunk.
func (s *bufferedSink) Text(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

// Flush does nothing: the answer is sent in one response.
func (s *bufferedSink) Flush() error { return nil }

// setHeaders sets the headers of the response.
func (s *bufferedSink) setHeaders(h http.Header, a request.Answer) {
	setHeadHeaders(h, s.head)
	h.Set(headerCost, strconv.FormatInt(a.Cost, 10))
}

// setHeadHeaders sets the headers that are known when an answer starts.
func setHeadHeaders(h http.Header, head request.Head) {
	h.Set(headerVersion, head.Version)
	if head.Session != "" {
		h.Set(headerSession, head.Session)
	}
	if head.Stream != "" {
		h.Set(headerStream, head.Stream)
	}
}

// completion returns the body of the response.
func (s *bufferedSink) completion(a request.Answer) completion {
	reason := a.FinishReason
	return completion{
		ID:      completionID(),
		Object:  objectCompletion,
		Created: time.Now().Unix(),
		Model:   a.Version,
		Choices: []choice{{Message: &content{Role: roleAssistant, Content: s.text.String()}, FinishReason: &reason}},
		Usage:   usageOf(a),
		Extras:  extrasOf(a),
	}
}

func completionID() string { return "chatcmpl-" + uuid.NewString() }
