package api

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/hickorybank/hickorybank/internal/request"
)

// wholeSink gathers an answer that goes out in one piece.
type wholeSink struct {
	head request.Head
	text strings.Builder
}

// Streams is false: the answer goes out in one piece.
func (s *wholeSink) Streams() bool { return false }

// Begin notes the head for the headers.
func (s *wholeSink) Begin(h request.Head) { s.head = h }

// Text gathers one piece.
func (s *wholeSink) Text(_ int, text string) error {
	s.text.WriteString(text)
	return nil
}

// Flush does nothing: the answer goes out in one piece.
func (s *wholeSink) Flush() error { return nil }

func (s *wholeSink) setHeaders(h http.Header, a request.Answer) {
	setHead(h, s.head)
	h.Set(headerCost, strconv.FormatInt(a.Cost, 10))
}

func setHead(h http.Header, head request.Head) {
	h.Set(headerVersion, head.Version)
	if head.Session != "" {
		h.Set(headerSession, head.Session)
	}
	if head.Stream != "" {
		h.Set(headerStream, head.Stream)
	}
}

func (s *wholeSink) completion(a request.Answer) completion {
	reason := a.FinishReason
	return completion{
		ID:      completionID(),
		Object:  objectCompletion,
		Created: time.Now().Unix(),
		Model:   a.Version,
		Choices: []choice{{Message: &content{Role: roleAssistant, Content: s.text.String()}, FinishReason: &reason}},
		Usage:   usageOf(a),
		Own:     ownOf(a),
	}
}

func completionID() string { return "chatcmpl-" + uuid.NewString() }
