package client

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// fixedTransport is a transport that returns the same response to every request.
type fixedTransport struct {
	status int
	body   []byte
}

func (c fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: c.status,
		Body:       io.NopCloser(bytes.NewReader(c.body)),
	}, nil
}

// FuzzAnswers gives the client arbitrary responses. An error must be of exactly one
// kind, and a commit must not be reported as refused on status 200.
func FuzzAnswers(f *testing.F) {
	f.Add(200, []byte(`{"applied":true,"version":3}`))
	f.Add(200, []byte(`{"applied":false,"conflicts":[{"key":"a","version":1,"value":"eA=="}]}`))
	f.Add(429, []byte(`{"refused":"rate_limited","retry_after_ms":5}`))
	f.Add(503, []byte(`{"refused":`))
	f.Add(500, []byte(``))
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		client := New("http://127.0.0.1:1")
		client.http.Transport = fixedTransport{status, body}
		_, err := client.Commit(t.Context(), platform.Txn{})
		refused := errors.Is(err, platform.ErrRefused)
		unknown := errors.Is(err, platform.ErrUnknown)
		if err != nil && refused == unknown {
			t.Fatalf("commit: refused %t, unknown %t: %v", refused, unknown, err)
		}
		if status == http.StatusOK && refused {
			t.Fatalf("commit refused on status 200: %v", err)
		}
		_, err = client.Get(t.Context(), "a")
		if err != nil && (!errors.Is(err, platform.ErrRefused) || errors.Is(err, platform.ErrUnknown)) {
			t.Fatalf("get: %v", err)
		}
	})
}
