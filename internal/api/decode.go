package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/request"
)

// Limits of what callers may send.
const (
	maxBody    = 4 << 20 // bytes
	maxKey     = 128     // characters of an idempotency key
	maxTimeout = time.Hour
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 30 * time.Second
)

// Headers of the interface.
const (
	headerKey         = "Idempotency-Key"
	headerSession     = "Hickorybank-Session"
	headerWantSession = "Hickorybank-Session-Start"
	headerClass       = "Hickorybank-Class"
	headerTimeout     = "Hickorybank-Timeout-Ms"
	headerVersion     = "Hickorybank-Version"
	headerStream      = "Hickorybank-Stream"
	headerCost        = "Hickorybank-Cost-Micros"
)

type message struct {
	Role    string
	Content json.RawMessage
}

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

func bad(text string) *request.Failure { return badFor(request.ReasonMalformed, text) }

func badFor(why request.Reason, text string) *request.Failure {
	f := request.Refuse(request.CodeBadRequest, 0, text)
	f.Reason = why
	return f
}

func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Failure) {
	// A body that never ends would hold its connection for ever. The limit
	// ends with the body: a long answer must not be cut by it.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // not offered by test recorders
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := readAll(http.MaxBytesReader(w, r.Body, maxBody), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badFor(request.ReasonTooLarge, "the body is larger than "+strconv.Itoa(maxBody)+" bytes")
	}
	if err != nil {
		return nil, badFor(request.ReasonUnread, "the body could not be read: "+err.Error())
	}
	return body, nil
}

// maxRoom bounds what a stated length reserves before anything has come.
const maxRoom = 64 << 10

// readAll reads a body whose length is stated without growing a buffer.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 || length > maxRoom {
		return io.ReadAll(r)
	}
	var body bytes.Buffer
	body.Grow(int(length) + bytes.MinRead)
	_, err := body.ReadFrom(r)
	return body.Bytes(), err
}

// decode reads a chat request's body and says whether its answer is to be
// streamed. Fields that the router does not know pass through to the engine.
func (call *ChatCall) decode(body []byte) (stream bool, fail *request.Failure) {
	fields, fail := fieldsOf(body)
	if fail != nil {
		return false, fail
	}
	if raw, ok := fields["stream"]; ok && json.Unmarshal(raw, &stream) != nil {
		return false, bad("stream: must be true or false")
	}
	if json.Unmarshal(fields["model"], &call.Model) != nil || call.Model == "" {
		return false, bad("model: must be the name of a model, version or class")
	}
	messages, ok := messagesOf(fields["messages"])
	if !ok || len(messages) == 0 {
		return false, bad("messages: must be a list with at least one message")
	}
	prompt, fail := promptOf(messages)
	if fail != nil {
		return false, fail
	}
	call.Fields = fields
	call.Prompt = prompt
	call.PrefixHash = prefixHash(messages)
	call.Body = body
	call.UsageApart = usageApart(fields["stream_options"])
	return stream, nil
}

// usageApart takes anything but a clear wish as none, as engines do.
func usageApart(raw json.RawMessage) bool {
	options, _ := request.SplitObject(raw)
	return string(options["include_usage"]) == "true"
}

// fieldsOf checks the body once as a whole and then only cuts it up; what is
// no object is left to the decoder, whose error says why.
func fieldsOf(body []byte) (request.Fields, *request.Failure) {
	if json.Valid(body) {
		if fields, ok := request.SplitObject(body); ok {
			return fields, nil
		}
	}
	var fields request.Fields
	if err := decodeOne(body, &fields); err != nil {
		return nil, bad("the body is not one JSON object: " + err.Error())
	}
	return fields, nil
}

func decodeOne(body []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if err := decoder.Decode(v); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is data after it")
	}
	return nil
}

func messagesOf(raw json.RawMessage) ([]message, bool) {
	list, ok := request.SplitArray(raw)
	messages := make([]message, len(list))
	for i, element := range list {
		if messages[i], ok = messageOf(element); !ok {
			return nil, false
		}
	}
	return messages, ok
}

func messageOf(raw json.RawMessage) (message, bool) {
	if string(raw) == "null" {
		return message{}, true
	}
	fields, ok := request.SplitObject(raw)
	if !ok {
		return message{}, false
	}
	m := message{Content: fields["content"]}
	if role, given := fields["role"]; given {
		ok = json.Unmarshal(role, &m.Role) == nil
	}
	return m, ok
}

// promptOf checks the messages and returns the last one of the user.
func promptOf(messages []message) (string, *request.Failure) {
	last := -1
	for i, m := range messages {
		field := "messages[" + strconv.Itoa(i) + "]"
		if m.Role == "" {
			return "", bad(field + ".role: must not be empty")
		}
		if !isContent(m.Content) {
			return "", bad(field + ".content: must be text, null or a list of parts")
		}
		if m.Role == "user" {
			last = i
		}
	}
	if last < 0 {
		return "", nil
	}
	text, _ := contentText(messages[last].Content)
	return text, nil
}

// isContent spares the decoding of a text, which is valid JSON already.
func isContent(raw json.RawMessage) bool {
	if len(raw) > 0 && raw[0] == '"' {
		return true
	}
	_, ok := contentText(raw)
	return ok
}

func contentText(raw json.RawMessage) (string, bool) {
	if len(raw) == 0 || string(raw) == "null" {
		return "", true
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, true
	}
	var parts []part
	if json.Unmarshal(raw, &parts) != nil {
		return "", false
	}
	texts := make([]string, 0, len(parts))
	for _, p := range parts {
		texts = append(texts, p.Text)
	}
	return strings.Join(texts, "\n"), true
}

// prefixHash covers all messages but the last, which is what turns of one
// conversation share; with one message it covers that.
func prefixHash(messages []message) uint64 {
	shared := messages
	if len(messages) > 1 {
		shared = messages[:len(messages)-1]
	}
	h := xxhash.New()
	for _, m := range shared {
		_, _ = h.WriteString(m.Role)
		_, _ = h.Write(m.Content)
	}
	return h.Sum64()
}

func keyOf(r *http.Request) (string, *request.Failure) {
	key := r.Header.Get(headerKey)
	if len(key) > maxKey {
		return "", bad(headerKey + ": longer than " + strconv.Itoa(maxKey) + " characters")
	}
	for _, c := range key {
		if c <= ' ' || c > '~' || c == '/' {
			return "", bad(headerKey + ": only printable ASCII without space and slash is accepted")
		}
	}
	return key, nil
}

func timeoutOf(r *http.Request) (time.Duration, *request.Failure) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	limit := maxTimeout.Milliseconds()
	if err != nil || millis <= 0 || millis > limit {
		return 0, bad(headerTimeout + ": must be whole milliseconds from 1 to " + strconv.FormatInt(limit, 10))
	}
	return time.Duration(millis) * time.Millisecond, nil
}
