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

	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/request"
)

// Limits of requests.
const (
	maxBodyBytes = 4 << 20 // bytes
	maxKeyLength = 128     // characters of an idempotency key
	maxTimeout   = time.Hour
	// bodyTimeout is the time limit for reading a body.
	bodyTimeout = 30 * time.Second
	// bodyRetryAfter is when a caller may come back whose body found no memory.
	bodyRetryAfter = 600 * time.Millisecond
)

// Headers of requests and responses.
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

// message is one message of a chat request. Content is not decoded.
type message struct {
	Role    string
	Content json.RawMessage
}

// part is one part of a message whose content is a list.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// malformed returns the failure of a malformed request, with a text for the caller.
func malformed(text string) *request.Failure { return badRequest(request.ReasonMalformed, text) }

// badRequest returns the failure of an invalid request, with a reason and a text for the
// caller.
func badRequest(reason request.Reason, text string) *request.Failure {
	f := request.Refuse(request.CodeBadRequest, 0, text)
	f.Reason = reason
	return f
}

// readBody reads a body of at most maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *request.Failure) {
	// Without a deadline, a body that never ends would occupy its connection forever. The
	// deadline is removed after the body, so that it does not interrupt a long answer.
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout)) // test recorders do not support it
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	held := intake.HoldingOf(r.Context(), nil)
	body, err := intake.ReadWhole(http.MaxBytesReader(w, r.Body, maxBodyBytes), r.ContentLength, held.Reserve)
	if errors.Is(err, intake.ErrNoMemory) || err == nil && !intake.Complete(r.Context()) || held.Evicted() {
		w.Header().Set("Connection", "close") // what is left of the body is not read
		return nil, request.Refuse(request.CodeOverloaded, bodyRetryAfter, "too many bodies are being received")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, badRequest(request.ReasonTooLarge, "the body is larger than "+strconv.Itoa(maxBodyBytes)+" bytes")
	}
	if err != nil {
		return nil, badRequest(request.ReasonUnread, "the body could not be read: "+err.Error())
	}
	return body, nil
}

// decode decodes the body of a chat request into the call. stream is set if the answer is
// to be streamed. Fields that the router does not use are passed to the engine.
func (call *ChatCall) decode(body []byte) (stream bool, failure *request.Failure) {
	fields, failure := splitBody(body)
	if failure != nil {
		return false, failure
	}
	if raw, ok := fields["stream"]; ok && json.Unmarshal(raw, &stream) != nil {
		return false, malformed("stream: must be true or false")
	}
	if json.Unmarshal(fields["model"], &call.Model) != nil || call.Model == "" {
		return false, malformed("model: must be the name of a model, version or class")
	}
	messages, ok := decodeMessages(fields["messages"])
	if !ok || len(messages) == 0 {
		return false, malformed("messages: must be a list with at least one message")
	}
	prompt, failure := validateMessages(messages)
	if failure != nil {
		return false, failure
	}
	call.Fields = fields
	call.Prompt = prompt
	call.PrefixHash = prefixHash(messages)
	call.MessageHashes = messageHashes(messages[:len(messages)-1])
	call.Body = body
	call.SeparateUsage = wantsUsageChunk(fields["stream_options"])
	return stream, nil
}

// wantsUsageChunk reports whether stream_options requests a separate chunk with the
// usage. As in engines, any other value than true counts as false.
func wantsUsageChunk(raw json.RawMessage) bool {
	options, _ := request.SplitObject(raw)
	return string(options["include_usage"]) == "true"
}

// splitBody returns the fields of the body. It validates the body once and then only
// splits it. A body that is not an object is decoded for the error message.
func splitBody(body []byte) (request.Fields, *request.Failure) {
	if json.Valid(body) {
		if fields, ok := request.SplitObject(body); ok {
			return fields, nil
		}
	}
	var fields request.Fields
	if err := decodeOne(body, &fields); err != nil {
		return nil, malformed("the body is not one JSON object: " + err.Error())
	}
	return fields, nil
}

// decodeOne decodes one JSON value. It returns an error if data follows the value.
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

// decodeMessages decodes the list of messages; ok is false if it is malformed.
func decodeMessages(raw json.RawMessage) ([]message, bool) {
	list, ok := request.SplitArray(raw)
	messages := make([]message, len(list))
	for i, element := range list {
		if messages[i], ok = decodeMessage(element); !ok {
			return nil, false
		}
	}
	return messages, ok
}

// decodeMessage decodes a message; null gives an empty one.
func decodeMessage(raw json.RawMessage) (message, bool) {
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

// validateMessages validates the messages and returns the text of the user's last one.
func validateMessages(messages []message) (string, *request.Failure) {
	last := -1
	for i, m := range messages {
		field := "messages[" + strconv.Itoa(i) + "]"
		if m.Role == "" {
			return "", malformed(field + ".role: must not be empty")
		}
		if !isValidContent(m.Content) {
			return "", malformed(field + ".content: must be text, null or a list of parts")
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

// isValidContent reports whether raw is valid content of a message. It does not decode a
// string, which is known to be valid JSON.
func isValidContent(raw json.RawMessage) bool {
	if len(raw) > 0 && raw[0] == '"' {
		return true
	}
	_, ok := contentText(raw)
	return ok
}

// contentText returns the text of a message's content: a string, null or a list of parts.
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

// prefixHash returns the hash of all messages except the last, which is the prefix that
// the turns of a conversation share. A single message is hashed itself.
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

// messageHashes returns the hash of each message.
func messageHashes(messages []message) (hashes []uint64) {
	for _, m := range messages {
		hashes = append(hashes, xxhash.Sum64String(m.Role+"\x00"+string(m.Content)))
	}
	return hashes
}

// idempotencyKey returns the idempotency key; empty if there is none.
func idempotencyKey(r *http.Request) (string, *request.Failure) {
	key := r.Header.Get(headerKey)
	if len(key) > maxKeyLength {
		return "", malformed(headerKey + ": longer than " + strconv.Itoa(maxKeyLength) + " characters")
	}
	for _, c := range key {
		if c <= ' ' || c > '~' || c == '/' {
			return "", malformed(headerKey + ": only printable ASCII without space and slash is accepted")
		}
	}
	return key, nil
}

// requestTimeout returns the time-out of the request; 0 if the header is missing.
func requestTimeout(r *http.Request) (time.Duration, *request.Failure) {
	text := r.Header.Get(headerTimeout)
	if text == "" {
		return 0, nil
	}
	millis, err := strconv.ParseInt(text, 10, 64)
	limit := maxTimeout.Milliseconds()
	if err != nil || millis <= 0 || millis > limit {
		return 0, malformed(headerTimeout + ": must be whole milliseconds from 1 to " + strconv.FormatInt(limit, 10))
	}
	return time.Duration(millis) * time.Millisecond, nil
}
