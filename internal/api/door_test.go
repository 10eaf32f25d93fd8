package api

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/request"
)

// An invalid request is refused before it reaches the router. The caller must get an
// error response that names the fault, with outcome not run.
func TestInvalidRequestDoesNotReachRouter(t *testing.T) {
	chat := "/v1/chat/completions"
	withModel := func(model string) string { return `{"model":` + model + `,"messages":[{"role":"user","content":"x"}]}` }
	withMessages := func(messages string) string { return `{"model":"draft","messages":` + messages + `}` }
	cases := []struct {
		name, method, path, body string
		headers                  []header
		status                   int
		code                     request.Code
		part                     string
	}{
		{"no key", "POST", chat, goodChat, []header{{"Authorization", ""}}, 401, request.CodeUnauthorised, "bearer key"},
		{"unknown key", "POST", chat, goodChat, []header{{"Authorization", "Bearer nobody"}}, 401, request.CodeUnauthorised, "bearer key"},
		{"empty key", "POST", chat, goodChat, []header{{"Authorization", "Bearer "}}, 401, request.CodeUnauthorised, "bearer key"},
		{"other scheme", "POST", chat, goodChat, []header{{"Authorization", "Basic " + example.DemoKey("cartagena")}}, 401, request.CodeUnauthorised, "bearer key"},
		{"operator's key", "POST", chat, goodChat, []header{{"Authorization", "Bearer " + example.OperatorKey}}, 401, request.CodeUnauthorised, "bearer key"},
		{"no key for models", "GET", "/v1/models", "", []header{{"Authorization", ""}}, 401, request.CodeUnauthorised, "bearer key"},
		{"no key for a service", "GET", "/v1/services/billing/receipts/1", "", []header{{"Authorization", ""}}, 401, request.CodeUnauthorised, "bearer key"},
		{"no key for a stream", "GET", "/v1/streams/abc", "", []header{{"Authorization", ""}}, 401, request.CodeUnauthorised, "bearer key"},
		{"unknown path", "POST", "/v1/completions", goodChat, nil, 404, request.CodeBadRequest, "/v1/completions"},
		{"unknown method", "PUT", chat, goodChat, nil, 404, request.CodeBadRequest, "PUT"},
		{"operators' path", "GET", "/admin/v1/configuration", "", nil, 404, request.CodeBadRequest, "/admin"},
		{"empty body", "POST", chat, "", nil, 400, request.CodeBadRequest, "not one JSON object"},
		{"truncated body", "POST", chat, goodChat[:30], nil, 400, request.CodeBadRequest, "not one JSON object"},
		{"two bodies", "POST", chat, goodChat + goodChat, nil, 400, request.CodeBadRequest, "data after it"},
		{"a list", "POST", chat, "[]", nil, 400, request.CodeBadRequest, "not one JSON object"},
		{"null", "POST", chat, "null", nil, 400, request.CodeBadRequest, "model"},
		{"not text", "POST", chat, "\xff\xfe", nil, 400, request.CodeBadRequest, "not one JSON object"},
		{"too large", "POST", chat, `{"model":"` + strings.Repeat("x", maxBodyBytes) + `"}`, nil, 400, request.CodeBadRequest, "larger than"},
		{"no model", "POST", chat, `{"messages":[{"role":"user","content":"x"}]}`, nil, 400, request.CodeBadRequest, "model:"},
		{"empty model", "POST", chat, withModel(`""`), nil, 400, request.CodeBadRequest, "model:"},
		{"model is a number", "POST", chat, withModel("7"), nil, 400, request.CodeBadRequest, "model:"},
		{"no messages", "POST", chat, `{"model":"draft"}`, nil, 400, request.CodeBadRequest, "messages:"},
		{"empty messages", "POST", chat, withMessages("[]"), nil, 400, request.CodeBadRequest, "messages:"},
		{"messages is text", "POST", chat, withMessages(`"hello"`), nil, 400, request.CodeBadRequest, "messages:"},
		{"message without role", "POST", chat, withMessages(`[{"content":"x"}]`), nil, 400, request.CodeBadRequest, "messages[0].role"},
		{"content is a number", "POST", chat, withMessages(`[{"role":"user","content":"x"},{"role":"user","content":5}]`), nil, 400, request.CodeBadRequest, "messages[1].content"},
		{"stream is text", "POST", chat, `{"stream":"yes",` + goodChat[1:], nil, 400, request.CodeBadRequest, "stream:"},
		{"long idempotency key", "POST", chat, goodChat, []header{{headerKey, strings.Repeat("k", maxKeyLength+1)}}, 400, request.CodeBadRequest, headerKey},
		{"space in idempotency key", "POST", chat, goodChat, []header{{headerKey, "a b"}}, 400, request.CodeBadRequest, headerKey},
		{"slash in idempotency key", "POST", chat, goodChat, []header{{headerKey, "a/b"}}, 400, request.CodeBadRequest, headerKey},
		{"byte in idempotency key", "POST", chat, goodChat, []header{{headerKey, "a\x80"}}, 400, request.CodeBadRequest, headerKey},
		{"timeout is a word", "POST", chat, goodChat, []header{{headerTimeout, "soon"}}, 400, request.CodeBadRequest, headerTimeout},
		{"timeout is 0", "POST", chat, goodChat, []header{{headerTimeout, "0"}}, 400, request.CodeBadRequest, headerTimeout},
		{"timeout beyond 64 bits", "POST", chat, goodChat, []header{{headerTimeout, "99999999999999999999"}}, 400, request.CodeBadRequest, headerTimeout},
		{"unknown service", "GET", "/v1/services/tides/x", "", nil, 404, request.CodeUnknownModel, "tides"},
		{"undeclared call", "DELETE", "/v1/services/billing/receipts/1", "", nil, 400, request.CodeBadRequest, "declares no call"},
		{"undeclared path", "GET", "/v1/services/billing/secrets", "", nil, 400, request.CodeBadRequest, "declares no call"},
		{"path leaves a declared one", "GET", "/v1/services/billing/receipts/../secrets", "", nil, 400, request.CodeBadRequest, "segments"},
		{"bad key for a call", "POST", "/v1/services/billing/settlements", "{}", []header{{headerKey, "a b"}}, 400, request.CodeBadRequest, headerKey},
		{"call too large", "POST", "/v1/services/billing/settlements", strings.Repeat("x", maxBodyBytes+1), nil, 400, request.CodeBadRequest, "larger than"},
		{"after is not a number", "GET", "/v1/streams/abc?after=x", "", nil, 400, request.CodeBadRequest, "after"},
		{"after is negative", "GET", "/v1/streams/abc", "", []header{{headerLastEvent, "-1"}}, 400, request.CodeBadRequest, "after"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFakeRouter(t)
			w := send(b, c.method, c.path, c.body, c.headers...)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Content-Type"), "application/json")
			detail := errorOf(t, w)
			is.Equal(detail.Code, c.code)
			is.Equal(detail.Outcome, request.NotRun)
			is.True(detail.Type != "")
			is.True(strings.Contains(detail.Message, c.part)) // names the fault
			is.Equal(b.reached(), 0)
			is.Equal(len(b.refused), 1) // counted once
			is.Equal(b.refused[0].Code, c.code)
			is.True(b.refused[0].BeforeRouter)
		})
	}
}

// All fields and headers of a valid request must reach the router unchanged.
func TestValidRequestReachesRouterUnchanged(t *testing.T) {
	is := is.New(t)
	b := newFakeRouter(t)
	body := `{"model":"draft","temperature":0.5,"messages":[{"role":"system","content":"s"},{"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]}`
	w := send(b, "POST", "/v1/chat/completions", body, header{headerKey, "k-1"}, header{headerTimeout, "1500"}, header{headerSession, "s"}, header{headerClass, "draft"})
	is.Equal(w.Code, http.StatusOK)
	is.Equal(w.Header().Get(headerCost), "9")
	call := b.chats[0]
	is.Equal(call.Org.Name, "cartagena")
	is.Equal(call.Key, "k-1")
	is.Equal(call.Timeout, 1500*time.Millisecond)
	is.Equal(call.Session, "s")
	is.Equal(call.Class, "draft")
	is.Equal(call.Prompt, "a\nb")
	is.Equal(string(call.Fields["temperature"]), "0.5") // passed to the engine
	w = send(b, "POST", "/v1/services/billing/settlements?x=1", "{}", header{headerKey, "k-2"})
	is.Equal(w.Code, http.StatusOK)
	is.Equal(b.calls[0].Request.Path, "/settlements")
	is.Equal(b.calls[0].Request.RawQuery, "x=1")
	w = send(b, "GET", "/v1/streams/token?after=4", "")
	is.Equal(w.Code, http.StatusOK)
	is.Equal(b.resumes[0].After, 4)
	is.Equal(b.resumes[0].Token, "token")
}

// Requests that differ only in the last message must have the same prefix hash, other
// conversations another one. Otherwise the engines' caches are useless.
func TestPrefixHashCoversAllButLastMessage(t *testing.T) {
	is := is.New(t)
	b := newFakeRouter(t)
	for _, messages := range []string{
		`[{"role":"system","content":"s"},{"role":"user","content":"1"}]`,
		`[{"role":"system","content":"s"},{"role":"user","content":"2"}]`,
		`[{"role":"system","content":"t"},{"role":"user","content":"1"}]`,
	} {
		send(b, "POST", "/v1/chat/completions", `{"model":"draft","messages":`+messages+`}`)
	}
	is.Equal(b.chats[0].PrefixHash, b.chats[1].PrefixHash)
	is.True(b.chats[0].PrefixHash != b.chats[2].PrefixHash)
}

// No request may be served before a configuration is in force. Only the addresses are
// available then.
func TestRequestsAreRefusedWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	b := &fakeRouter{}
	w := send(b, "POST", "/v1/chat/completions", goodChat)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(errorOf(t, w).Outcome, request.NotRun)
	is.True(w.Header().Get("Retry-After") != "")
	is.Equal(send(b, "GET", "/v1/addresses", "").Code, http.StatusOK)
}

// Each failure must be sent with its status, Retry-After and message, streamed or not.
func TestFailuresHaveStatusAndRetryAfter(t *testing.T) {
	for code, status := range statusByCode {
		is := is.New(t)
		b := newFakeRouter(t)
		b.failure = request.Refuse(code, 1500*time.Millisecond, "why")
		w := send(b, "POST", "/v1/chat/completions", goodChat)
		is.Equal(w.Code, status)
		is.Equal(w.Header().Get("Retry-After"), "2") // whole seconds, rounded up
		is.Equal(errorOf(t, w).Message, "why")
		streamed := send(b, "POST", "/v1/chat/completions", `{"stream":true,`+goodChat[1:])
		is.Equal(streamed.Code, status) // the stream has not started
		is.Equal(send(b, "POST", "/v1/services/billing/settlements", "{}").Code, status)
	}
}

// A stream that breaks after its first chunk must not end like a complete one. The caller
// would take half a dues statement for the whole.
func TestBrokenStreamHasNoEndMarker(t *testing.T) {
	is := is.New(t)
	b := newFakeRouter(t)
	b.failure = &request.Failure{Code: request.CodeUpstreamFailed, Message: "gone", Outcome: request.Unknown}
	w := send(b, "POST", "/v1/chat/completions", `{"stream":true,`+goodChat[1:])
	is.Equal(w.Code, http.StatusOK)
	is.True(strings.Contains(w.Body.String(), `"outcome":"unknown"`))
	is.True(!strings.Contains(w.Body.String(), "[DONE]"))
	is.True(!strings.Contains(w.Body.String(), `"finish_reason":"`))
	b.failure = nil
	w = send(b, "POST", "/v1/chat/completions", `{"stream":true,`+goodChat[1:])
	is.True(strings.HasSuffix(w.Body.String(), "data: [DONE]\n\n"))
}
