package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// streamSink sends an answer as server-sent events. A stream that fails ends
// in an error event and never in the normal end mark, so that no caller takes
// a part for the whole.
type streamSink struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	head    completion
	opening []byte
	out     []byte // the last event's, to be used again
	begun   bool
	// usageApart puts the usage into a chunk of its own.
	usageApart bool
	first      bool
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
	s.opening = openingOf(s.head)
	s.begun = true
}

// Text takes one piece. Its number is the event's id, with which the caller
// says where to read on.
func (s *streamSink) Text(seq int, text string) error {
	out := appendID(s.out[:0], seq)
	out = append(out, s.opening...)
	if s.first {
		out = append(out, `"role":"`+roleAssistant+`",`...)
		s.first = false
	}
	out = append(out, `"content":`...)
	out = appendText(out, text)
	s.out = append(out, "},\"finish_reason\":null}]}\n\n"...)
	_, err := s.w.Write(s.out)
	return err
}

// Flush sends the pieces that were taken.
func (s *streamSink) Flush() error { return s.flusher.Flush() }

// openingOf is what all pieces of a stream have before their text.
func openingOf(c completion) []byte {
	c.Choices = []choice{}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return append(data[:len(data)-len("]}")], `{"index":0,"delta":{`...)
}

func (s *streamSink) send(out []byte) error {
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	return s.Flush()
}

// finish sends the end in one piece, since nothing comes between.
func (s *streamSink) finish(a request.Answer) {
	out := s.out[:0]
	for _, chunk := range s.endOf(a) {
		data, err := json.Marshal(chunk)
		if err != nil {
			return
		}
		out = appendEvent(out, 0, data)
	}
	out = appendEvent(out, 0, []byte("[DONE]"))
	_ = s.send(out) // the caller may have gone; nothing is left to do
}

// endOf is the last chunk, or the last two: a caller that asked for the usage
// reads it from a chunk without choices.
func (s *streamSink) endOf(a request.Answer) []completion {
	reason := a.FinishReason
	last := s.head
	last.Choices = []choice{{Delta: &content{}, FinishReason: &reason}}
	if !s.usageApart {
		return []completion{withUsage(last, a)}
	}
	apart := s.head
	apart.Choices = []choice{}
	return []completion{last, withUsage(apart, a)}
}

func withUsage(c completion, a request.Answer) completion {
	c.Usage = usageOf(a)
	c.Own = ownOf(a)
	return c
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
	_ = s.send(appendEvent(nil, 0, data)) // the caller may have gone; nothing is left to do
}
