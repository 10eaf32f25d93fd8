package admin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A request that is refused gets the status and code of the reason, and the stored configuration
// stays unchanged.
func TestRejectedRequestChangesNothing(t *testing.T) {
	cases := []struct {
		name, method, path, body string
		headers                  []header
		status                   int
		code                     Code
	}{
		{"no key", "GET", "/admin/v1/configuration", "", []header{{"Authorization", ""}}, 401, CodeUnauthorised},
		{"a caller's key", "GET", "/admin/v1/configuration", "", []header{{"Authorization", "Bearer " + callerKey}}, 401, CodeUnauthorised},
		{"a key's hash", "GET", "/admin/v1/configuration", "", []header{{"Authorization", "Bearer " + strings.Repeat("0", 64)}}, 401, CodeUnauthorised},
		{"no key on an unknown path", "GET", "/secrets", "", []header{{"Authorization", ""}}, 401, CodeUnauthorised},
		{"unknown path", "GET", "/admin/v1/secrets", "", nil, 404, CodeNotFound},
		{"unknown method", "PATCH", "/admin/v1/configuration", "", nil, 404, CodeNotFound},
		{"no revision", "PUT", "/admin/v1/configuration", "{}", nil, 428, CodeNoRevision},
		{"any revision", "PUT", "/admin/v1/configuration", "{}", []header{{HeaderRevision, "*"}}, 400, CodeBadRequest},
		{"two revisions", "PUT", "/admin/v1/configuration", "{}", []header{{HeaderRevision, `"1", "2"`}}, 400, CodeBadRequest},
		{"weak revision", "PUT", "/admin/v1/configuration", "{}", []header{{HeaderRevision, `W/"1"`}}, 400, CodeBadRequest},
		{"old revision", "POST", "/admin/v1/preset", `{"name":"peak"}`, []header{ifMatch(0)}, 412, CodeConflict},
		{"future revision", "POST", "/admin/v1/preset", `{"name":"peak"}`, []header{ifMatch(9)}, 412, CodeConflict},
		{"bad change id", "POST", "/admin/v1/preset", `{"name":"peak"}`, []header{ifMatch(1), changeIDHeader("a/b")}, 400, CodeBadRequest},
		{"long change id", "POST", "/admin/v1/preset", `{"name":"peak"}`, []header{ifMatch(1), changeIDHeader(strings.Repeat("x", 129))}, 400, CodeBadRequest},
		{"not JSON", "PUT", "/admin/v1/configuration", "{", []header{ifMatch(1)}, 400, CodeBadRequest},
		{"too large", "PUT", "/admin/v1/configuration", strings.Repeat(" ", maxBody+1), []header{ifMatch(1)}, 413, CodeTooLarge},
		{"unknown field", "PUT", "/admin/v1/organisations/tolu", `{"wieght":1}`, []header{ifMatch(1)}, 422, CodeInvalid},
		{"wrong type", "PUT", "/admin/v1/organisations/tolu", `{"weight":"1"}`, []header{ifMatch(1)}, 422, CodeInvalid},
		{"other name", "PUT", "/admin/v1/organisations/tolu", `{"name":"turbo","weight":1}`, []header{ifMatch(1)}, 422, CodeInvalid},
		{"empty document", "PUT", "/admin/v1/configuration", "{}", []header{ifMatch(1)}, 422, CodeInvalid},
		{"unknown preset", "POST", "/admin/v1/preset", `{"name":"nights"}`, []header{ifMatch(1)}, 422, CodeInvalid},
		{"preset in force removed", "DELETE", "/admin/v1/presets/ordinary", "", []header{ifMatch(1)}, 422, CodeInvalid},
		{"version in use removed", "DELETE", "/admin/v1/models/dues/versions/dues@1", "", []header{ifMatch(1)}, 422, CodeInvalid},
		{"unknown organisation removed", "DELETE", "/admin/v1/organisations/gone", "", []header{ifMatch(1)}, 404, CodeNotFound},
		{"unknown version withdrawn", "POST", "/admin/v1/versions/dues@9/withdraw", "", []header{ifMatch(1)}, 404, CodeNotFound},
		{"version of an unknown model", "PUT", "/admin/v1/models/gone/versions/gone@1", `{"state":"serving"}`, []header{ifMatch(1)}, 404, CodeNotFound},
		{"share above 1", "PUT", "/admin/v1/versions/dues@3/rollout", `{"state":"staged","share":1.5}`, []header{ifMatch(1)}, 422, CodeInvalid},
		{"target of an unknown class", "PUT", "/admin/v1/organisations/tolu/targets/gone", `{"quality":0.5}`, []header{ifMatch(1)}, 422, CodeInvalid},
		{"bad limit", "GET", "/admin/v1/changes?limit=-1", "", nil, 400, CodeBadRequest},
		{"bad time", "GET", "/admin/v1/bills?from=yesterday", "", nil, 501, CodeNotOffered},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(t)
			got := d.call(c.method, c.path, c.body, c.headers...)
			is.Equal(got.status, c.status)
			is.Equal(got.failure().Code, c.code)
			is.Equal(d.revision(), uint64(1)) // no change was made
			is.Equal(d.document(), tarifas(t))
		})
	}
}

func TestEntitiesAreChangedOneByOne(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	steps := []struct{ method, path, body string }{
		{"POST", "/admin/v1/preset", `{"name":"peak"}`},
		{"PUT", "/admin/v1/presets/quiet", `{"cascades":true}`},
		{"PUT", "/admin/v1/classes/quote", `{"kind":"deferrable","deadline_ms":500}`},
		{"PUT", "/admin/v1/services/tides", `{"calls":[{"method":"GET","path":"/tides/","idempotent":true,"class":"quote"}]}`},
		{"PUT", "/admin/v1/models/dues/versions/dues@4", `{"state":"staged","prior_quality":0.95,"share":0.01}`},
		{"PUT", "/admin/v1/versions/dues@4/rollout", `{"state":"staged","share":0.2,"exposure_cap":9}`},
		{"POST", "/admin/v1/versions/dues@3/withdraw", ``},
		{"PUT", "/admin/v1/organisations/new", `{"weight":2,"versions":["dues@4"],"services":["tides"]}`},
		{"PUT", "/admin/v1/organisations/new/targets/draft", `{"quality":0.5}`},
		{"PUT", "/admin/v1/organisations/new/targets/draft", `{"quality":0.6}`},
		{"PUT", "/admin/v1/organisations/new/targets/tag", `{"quality":0.7}`},
		{"DELETE", "/admin/v1/organisations/new/targets/tag", ``},
		{"DELETE", "/admin/v1/organisations/riohacha", ``},
	}
	for i, s := range steps {
		got := d.call(s.method, s.path, s.body, ifMatch(uint64(i+1)))
		is.Equal(got.status, http.StatusOK)
		is.Equal(got.header.Get("ETag"), ETag(uint64(i+2)))
		is.Equal(got.acceptance().Revision, uint64(i+2))
		is.True(len(got.acceptance().Differences) > 0) // the answer lists the differences
	}
	doc := d.document()
	is.Equal(doc.Preset, "peak")
	is.Equal(doc.Presets[3].Name, "quiet")
	is.Equal(findVersion(doc, "dues@4").Share, 0.2)
	is.Equal(string(findVersion(doc, "dues@3").State), "withdrawn")
	last := doc.Organisations[len(doc.Organisations)-1]
	is.Equal(last.Name, "new")
	is.Equal(fmt.Sprint(last.Targets), "[{draft 0.6}]")
	is.Equal(len(doc.Organisations), 10) // one was added, one deleted
}

func TestEntitiesAreRead(t *testing.T) {
	d := newFixture(t)
	cases := []struct{ path, part string }{
		{"/admin/v1/configuration", `"preset": "ordinary"`},
		{"/admin/v1/configuration?revision=1", `"preset": "ordinary"`},
		{"/admin/v1/preset", `"name": "ordinary"`},
		{"/admin/v1/presets", `"name": "maintenance"`},
		{"/admin/v1/classes/draft", `"kind": "heavy"`},
		{"/admin/v1/models/lines", `"name": "lines@2"`},
		{"/admin/v1/services", `"name": "billing"`},
		{"/admin/v1/organisations/tolu", `"name": "tolu"`},
		{"/admin/v1/versions", `"model": "dues"`},
		{"/admin/v1/versions/dues@3", `"exposure_cap": 40`},
		{"/admin/v1/changes", `"change": "first"`},
	}
	for _, c := range cases {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			got := d.call("GET", c.path, "")
			is.Equal(got.status, http.StatusOK)
			is.True(strings.Contains(got.body, c.part))
			if !strings.HasSuffix(c.path, "changes") {
				is.Equal(got.header.Get("ETag"), ETag(1)) // the base revision of a change
			}
		})
	}
	for _, path := range []string{"/admin/v1/organisations/gone", "/admin/v1/versions/gone", "/admin/v1/configuration?revision=8"} {
		is.New(t).Equal(d.call("GET", path, "").status, http.StatusNotFound)
	}
}

func TestFirstConfigurationHasBaseRevisionZero(t *testing.T) {
	is := is.New(t)
	d := newEmptyFixture(t)
	got := d.call("GET", "/admin/v1/configuration", "")
	is.Equal(got.status, http.StatusNotFound)
	is.Equal(got.header.Get("ETag"), ETag(0))
	text := `{"preset":"p","presets":[{"name":"p"}]}`
	is.Equal(d.call("PUT", "/admin/v1/configuration", text, ifMatch(0)).status, http.StatusOK)
	is.Equal(d.call("PUT", "/admin/v1/configuration", text, ifMatch(0)).status, http.StatusPreconditionFailed)
	is.Equal(d.revision(), uint64(1))
}

func TestDryRunReportsDifferencesAndChangesNothing(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	got := d.call("POST", "/admin/v1/versions/lines@2/withdraw?dry_run=true", "", ifMatch(1))
	is.Equal(got.status, http.StatusOK)
	var dryRun DryRunResult
	got.decode(&dryRun)
	is.Equal(len(dryRun.Differences), 1)
	is.Equal(dryRun.Differences[0].Field, "models[lines].versions[lines@2].state")
	is.True(len(dryRun.Warnings) > 0) // no version meets some targets any more
	is.Equal(d.revision(), uint64(1))
	is.Equal(d.call("POST", "/admin/v1/preset?dry_run=true", `{"name":"nights"}`, ifMatch(1)).status, 422)
	is.Equal(d.call("POST", "/admin/v1/preset?dry_run=true", `{"name":"peak"}`, ifMatch(0)).status, 412)
}

// A client sends the beginning of a change and then nothing. The request must time out and change
// nothing. Otherwise each such request occupies a connection of a small VM for ever.
func TestIncompleteBodyTimesOut(t *testing.T) {
	is := is.New(t)
	d := newFixture(t)
	d.server.bodyTimeout = 10 * time.Millisecond
	server := httptest.NewServer(d.server)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /admin/v1/preset HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIf-Match: 1\r\nContent-Length: 100\r\n\r\n{", operatorKey)
	is.NoErr(err)
	answer, err := io.ReadAll(conn) // returns when the server closes the connection
	is.NoErr(err)
	is.True(strings.HasPrefix(string(answer), "HTTP/1.1 400"))
	is.Equal(d.revision(), uint64(1))
}
