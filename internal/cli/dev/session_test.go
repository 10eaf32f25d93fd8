package dev

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/seal"
	"github.com/hickorybank/hickorybank/internal/session"
)

const (
	sessionHeader = "Hickorybank-Session"
	startHeader   = "Hickorybank-Session-Start"
	versionHeader = "Hickorybank-Version"
)

// response is an HTTP response with its body.
type response struct {
	status int
	header http.Header
	body   string
}

func (r response) code() string {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &body) // an answer without an error has no code
	return body.Error.Code + " " + body.Error.Outcome
}

// chat sends one request for "draft" to an entry node.
func chat(t *testing.T, base, organisation string, headers ...string) response {
	t.Helper()
	is := is.New(t)
	body := `{"model":"draft","messages":[{"role":"user","content":"Hello."}]}`
	req, err := http.NewRequest(http.MethodPost, base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+example.DemoKey(organisation))
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	transport := new(http.Transport)
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	return response{resp.StatusCode, resp.Header, string(data)}
}

// The requests of a session must stay on its version, whichever entry node they reach. A token that
// is made up, modified, too old or another organisation's must be rejected. Otherwise a caller could
// use another session or a version that its organisation is not permitted.
func TestSessionTokens(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, "tarifas")
	first := chat(t, d.BaseURL(), "tolu", startHeader, "1")
	if first.status != http.StatusOK {
		t.Fatalf("the first request was answered %d %s: %s", first.status, first.code(), first.body)
	}
	token, version := first.header.Get(sessionHeader), first.header.Get(versionHeader)
	is.True(token != "")
	for range 5 {
		for _, n := range d.entries {
			next := chat(t, "http://"+n.Addr(), "tolu", sessionHeader, token)
			is.Equal(next.status, http.StatusOK)
			is.Equal(next.header.Get(versionHeader), version)
		}
	}
	for name, r := range map[string]response{
		"another organisation's": chat(t, d.BaseURL(), "turbo", sessionHeader, token),
		"changed":                chat(t, d.BaseURL(), "tolu", sessionHeader, tampered(token)),
		"made up":                chat(t, d.BaseURL(), "tolu", sessionHeader, "a.b"),
		"empty parts":            chat(t, d.BaseURL(), "tolu", sessionHeader, "."),
		"very long":              chat(t, d.BaseURL(), "tolu", sessionHeader, strings.Repeat("a", 4000)),
		"forged":                 chat(t, d.BaseURL(), "tolu", sessionHeader, signToken(t, bytes.Repeat([]byte("k"), 32), version, time.Now())),
		"too old":                chat(t, d.BaseURL(), "tolu", sessionHeader, signToken(t, d.entrySettings(0).SessionKeys[0], version, time.Now().Add(-session.MaxAge-time.Hour))),
		"from the future":        chat(t, d.BaseURL(), "tolu", sessionHeader, signToken(t, d.entrySettings(0).SessionKeys[0], version, time.Now().Add(time.Hour))),
	} {
		if r.status != http.StatusBadRequest || r.code() != "bad_request not_run" {
			t.Error(name, r.status, r.body)
		}
	}
}

// tampered returns the token with one character changed.
func tampered(token string) string {
	flipped := "A"
	if token[5] == 'A' {
		flipped = "B"
	}
	return token[:5] + flipped + token[6:]
}

func signToken(t *testing.T, key []byte, version string, began time.Time) string {
	t.Helper()
	is := is.New(t)
	sealer, err := seal.New(key)
	is.NoErr(err)
	token, err := session.NewSigner(sealer).Sign(session.Token{ID: "s", Org: "tolu", Version: version, Started: began.Unix()})
	is.NoErr(err)
	return token
}
