package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hickorybank/hickorybank/internal/example"
)

// FuzzChat sends any body and headers as a chat request. What is refused is
// refused as the caller's mistake and goes no further; what goes through has
// a model and a body for the engine.
func FuzzChat(f *testing.F) {
	f.Add(goodChat, "", "", "")
	f.Add(`{"stream":true,`+goodChat[1:], "key", "100", "0")
	f.Add(`{"model":"a","model":"b","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`, "k", "", "9")
	f.Add(`{"model":"\ud800","messages":[{"role":"user","content":null}]}`, "", "1e3", "-0")
	b := newBackend(f)
	f.Fuzz(func(t *testing.T, body, key, timeout, after string) {
		before := len(b.chats)
		w := send(b, http.MethodPost, "/v1/chat/completions", body, header{headerKey, key}, header{headerTimeout, timeout})
		if w.Code >= 500 {
			t.Fatal(w.Code, w.Body.String())
		}
		passed := len(b.chats) > before
		if passed != (w.Code == http.StatusOK) {
			t.Fatal("reached the router:", passed, "status:", w.Code)
		}
		if passed {
			checkPassed(t, b.chats[len(b.chats)-1])
		}
		if w := send(b, http.MethodGet, "/v1/streams/t", "", header{headerLastEvent, after}); w.Code >= 500 {
			t.Fatal(w.Code)
		}
	})
}

func checkPassed(t *testing.T, call ChatCall) {
	if call.Model == "" || call.Org.Name != "cartagena" {
		t.Fatal("incomplete call")
	}
	body, err := call.Fields.BodyFor("dues@1")
	if err != nil {
		t.Fatal(err)
	}
	var again ChatCall
	_, fail := again.decode(body)
	if fail != nil || again.Model != "dues@1" || again.Prompt != call.Prompt {
		t.Fatal("the engine would read something else:", fail)
	}
}

// FuzzServicePath calls any path below a service. Only a declared call may
// reach it, and under no other name than the one that was checked.
func FuzzServicePath(f *testing.F) {
	for _, path := range []string{"/receipts/1", "/receipts/../x", "/receipts/%2e%2e/x", "//receipts/", "/settlements", "/clearance/\x00"} {
		f.Add("GET", path)
	}
	b := newBackend(f)
	f.Fuzz(func(t *testing.T, method, path string) {
		r, err := http.NewRequest(method, "http://x/v1/services/billing"+path, http.NoBody)
		if err != nil {
			return // no server would hand it on
		}
		r.Header.Set("Authorization", "Bearer "+example.DemoKey("tolu"))
		before := len(b.calls)
		New(b).ServeHTTP(httptest.NewRecorder(), r)
		if len(b.calls) == before {
			return
		}
		call := b.calls[len(b.calls)-1]
		if call.Service.Call(call.Request.Method, call.Request.Path) != call.Call || hasDots(call.Request.Path) {
			t.Fatalf("%+v", call.Request)
		}
	})
}
