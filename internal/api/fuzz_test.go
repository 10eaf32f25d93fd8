package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/hickorybank/hickorybank/internal/example"
)

// FuzzChat sends arbitrary bodies and headers as chat requests. A refused request must
// get a 4xx status and not reach the router. An accepted one must have a model and a body
// for the engine.
func FuzzChat(f *testing.F) {
	f.Add(goodChat, "", "", "")
	f.Add(`{"stream":true,`+goodChat[1:], "key", "100", "0")
	f.Add(`{"model":"a","model":"b","messages":[{"role":"user","content":[{"type":"text","text":"x"}]}]}`, "k", "", "9")
	f.Add(`{"model":"\ud800","messages":[{"role":"user","content":null}]}`, "", "1e3", "-0")
	b := newFakeRouter(f)
	f.Fuzz(func(t *testing.T, body, key, timeout, after string) {
		before := len(b.chats)
		w := send(b, http.MethodPost, "/v1/chat/completions", body, header{headerKey, key}, header{headerTimeout, timeout})
		if w.Code >= 500 {
			t.Fatal(w.Code, w.Body.String())
		}
		reached := len(b.chats) > before
		if reached != (w.Code == http.StatusOK) {
			t.Fatal("reached the router:", reached, "status:", w.Code)
		}
		if reached {
			checkAccepted(t, b.chats[len(b.chats)-1])
		}
		if w := send(b, http.MethodGet, "/v1/streams/t", "", header{headerLastEvent, after}); w.Code >= 500 {
			t.Fatal(w.Code)
		}
	})
}

// checkAccepted checks that the engine decodes the same request from the body as the
// router.
func checkAccepted(t *testing.T, call ChatCall) {
	if call.Model == "" || call.Org.Name != "cartagena" {
		t.Fatal("incomplete call")
	}
	body, err := call.Fields.BodyFor("dues@1")
	if err != nil {
		t.Fatal(err)
	}
	var decoded ChatCall
	_, failure := decoded.decode(body)
	if failure != nil || decoded.Model != "dues@1" || decoded.Prompt != call.Prompt {
		t.Fatal("the body for the engine decodes to a different request:", failure)
	}
}

// FuzzServicePath calls arbitrary paths of a service. Only a declared call may reach the
// service, and with the same path that was checked.
func FuzzServicePath(f *testing.F) {
	for _, path := range []string{"/receipts/1", "/receipts/../x", "/receipts/%2e%2e/x", "//receipts/", "/settlements", "/clearance/\x00"} {
		f.Add("GET", path)
	}
	b := newFakeRouter(f)
	f.Fuzz(func(t *testing.T, method, path string) {
		r, err := http.NewRequest(method, "http://x/v1/services/billing"+path, http.NoBody)
		if err != nil {
			return // not a valid request
		}
		r.Header.Set("Authorization", "Bearer "+example.DemoKey("tolu"))
		before := len(b.calls)
		New(b).ServeHTTP(httptest.NewRecorder(), r)
		if len(b.calls) == before {
			return
		}
		call := b.calls[len(b.calls)-1]
		if call.Service.Call(call.Request.Method, call.Request.Path) != call.Call || hasDotSegment(call.Request.Path) {
			t.Fatalf("%+v", call.Request)
		}
	})
}
