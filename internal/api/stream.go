package api

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// eventOverhead is room for an event's field names and its number.
const eventOverhead = 40

// streamSink sends an answer as server-sent events. A stream that fails ends
// in an error event and never in the normal end mark, so that no caller takes
// a part for the whole.
type streamSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	head    completion
	begun   bool
	first   bool
}

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, flusher: http.NewResponseController(w), first: true}
}

// Streams is true: pieces go out as they come.
func (s *streamSink) Streams() bool { return true }

// Begin sends the headers.
func (s *streamSink) Begin(h request.Head) {
	setHead(s.w.Header(), h)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	s.head = completion{ID: completionID(), Object: objectChunk, Created: time.Now().Unix(), Model: h.Version}
	s.begun = true
}

// Text sends one piece. Its number is the event's id, with which the caller
// says where to read on.
func (s *streamSink) Text(seq int, text string) error {
	delta := &content{Content: text}
	if s.first {
		delta.Role = roleAssistant
		s.first = false
	}
	return s.send(seq, choice{Delta: delta}, nil)
}

func (s *streamSink) send(seq int, c choice, u *usage) error {
	chunk := s.head
	chunk.Choices = []choice{c}
	chunk.Usage = u
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.event(seq, data)
}

// event sends one event; a number of 0 gives it no id.
func (s *streamSink) event(seq int, data []byte) error {
	out := make([]byte, 0, len(data)+eventOverhead)
	if seq > 0 {
		out = append(out, "id: "...)
		out = strconv.AppendInt(out, int64(seq), 10)
		out = append(out, '\n')
	}
	out = append(out, "data: "...)
	out = append(out, data...)
	out = append(out, "\n\n"...)
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	return s.flusher.Flush()
}

func (s *streamSink) finish(a request.Answer) {
	reason := a.FinishReason
	if s.send(0, choice{Delta: &content{}, FinishReason: &reason}, usageOf(a)) != nil {
		return
	}
	_ = s.event(0, []byte("[DONE]")) // the caller may have gone; nothing is left to do
}

func (s *streamSink) fail(f *request.Failure) {
	if !s.begun {
		writeFailure(s.w, f)
		return
	}
	_, body := newErrorBody(f)
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_ = s.event(0, data) // the caller may have gone; nothing is left to do
}
