package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

// streamSink implements [request.Sink] and sends an answer as server-sent events. A
// stream that fails ends with an error event and without the end marker, so that no
// caller takes a partial answer for a complete one.
type streamSink struct {
	w          http.ResponseWriter
	flusher    *http.ResponseController
	head       completion
	chunkStart []byte
	buffer     []byte // buffer of the last event, for reuse
	started    bool
	// separateUsage is set if the usage is to be sent in a separate chunk.
	separateUsage bool
	// first is set until the first chunk, which contains the role.
	first bool
}

func newStreamSink(w http.ResponseWriter) *streamSink {
	return &streamSink{w: w, flusher: http.NewResponseController(w), first: true}
}

// Streams returns true: chunks are sent as they are produced.
func (s *streamSink) Streams() bool { return true }

// Begin sends the headers and prepares the constant part of the chunks.
func (s *streamSink) Begin(h request.Head) {
	setHeadHeaders(s.w.Header(), h)
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
	s.head = completion{ID: completionID(), Object: objectChunk, Created: time.Now().Unix(), Model: h.Version}
	s.chunkStart = chunkStartOf(s.head)
	s.started = true
}

// Text writes one chunk. Its number is the event ID, with which the caller can resume the
// stream.
func (s *streamSink) Text(seq int, text string) error {
	out := appendEventStart(s.buffer[:0], seq)
	out = append(out, s.chunkStart...)
	if s.first {
		out = append(out, `"role":"`+roleAssistant+`",`...)
		s.first = false
	}
	out = append(out, `"content":`...)
	out = appendJSONString(out, text)
	s.buffer = append(out, "},\"finish_reason\":null}]}\n\n"...)
	_, err := s.w.Write(s.buffer)
	return err
}

// Flush sends the chunks that were written.
func (s *streamSink) Flush() error { return s.flusher.Flush() }

// chunkStartOf returns the JSON that all chunks of a stream have before their text.
func chunkStartOf(c completion) []byte {
	c.Choices = []choice{}
	data, err := json.Marshal(c)
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	return append(data[:len(data)-len("]}")], `{"index":0,"delta":{`...)
}

// send writes and flushes events.
func (s *streamSink) send(out []byte) error {
	if _, err := s.w.Write(out); err != nil {
		return err
	}
	return s.Flush()
}

// finish sends the last chunks and the end marker in one write.
func (s *streamSink) finish(a request.Answer) {
	out := s.buffer[:0]
	for _, chunk := range s.lastChunks(a) {
		data, err := json.Marshal(chunk)
		if err != nil {
			return
		}
		out = appendEvent(out, 0, data)
	}
	out = appendEvent(out, 0, []byte("[DONE]"))
	_ = s.send(out) // the caller may have disconnected
}

// lastChunks returns the last chunk, or the last two: a caller that requested the usage
// expects it in a chunk without choices.
func (s *streamSink) lastChunks(a request.Answer) []completion {
	reason := a.FinishReason
	last := s.head
	last.Choices = []choice{{Delta: &content{}, FinishReason: &reason}}
	if !s.separateUsage {
		return []completion{withUsage(last, a)}
	}
	usageChunk := s.head
	usageChunk.Choices = []choice{}
	return []completion{last, withUsage(usageChunk, a)}
}

// withUsage returns the completion with usage, version and cost of the answer.
func withUsage(c completion, a request.Answer) completion {
	c.Usage = usageOf(a)
	c.Extras = extrasOf(a)
	return c
}

// fail sends a failure: as an error event if the stream has started, otherwise as a
// response with an error status.
func (s *streamSink) fail(f *request.Failure) {
	if !s.started {
		writeFailure(s.w, f)
		return
	}
	_, body := newErrorBody(f)
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	_ = s.send(appendEvent(nil, 0, data)) // the caller may have disconnected
}
