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
	version string
	session string
	text    strings.Builder
}

// Streams is false: the answer goes out in one piece.
func (s *wholeSink) Streams() bool { return false }

// Begin notes the version and session for the headers.
func (s *wholeSink) Begin(version, session string) {
	s.version = version
	s.session = session
}

// Text gathers one piece.
func (s *wholeSink) Text(text string) error {
	s.text.WriteString(text)
	return nil
}

func (s *wholeSink) setHeaders(h http.Header, a request.Answer) {
	setVersionHeaders(h, s.version, s.session)
	h.Set(headerCost, strconv.FormatInt(a.Cost, 10))
}

func setVersionHeaders(h http.Header, version, session string) {
	h.Set(headerVersion, version)
	if session != "" {
		h.Set(headerSession, session)
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
	}
}

func completionID() string { return "chatcmpl-" + uuid.NewString() }
