package admin

import (
	"context"
	"net/http"
	"testing"
)

// FuzzChange sends arbitrary requests. Each must succeed or be refused with a client error (or as
// not offered), and the stored configuration must stay valid.
func FuzzChange(f *testing.F) {
	f.Add("PUT", "/admin/v1/configuration", `"1"`, "id", `{"preset":"p","presets":[{"name":"p"}]}`)
	f.Add("PUT", "/admin/v1/organisations/tolu", "1", "", `{"weight":1}`)
	f.Add("POST", "/admin/v1/versions/dues@1/withdraw", "2", "", "")
	f.Add("DELETE", "/admin/v1/classes/a%2fb", "*", "\x00", "[]")
	f.Add("PUT", "/admin/v1/versions/dues@3/rollout", "1", "", `{"state":"staged","share":1e-320}`)
	f.Fuzz(func(t *testing.T, method, path, revision, id, body string) {
		if _, err := http.NewRequest(method, path, nil); err != nil || path == "" || path[0] != '/' {
			return
		}
		d := newFixture(t)
		got := d.call(method, path, body, header{HeaderRevision, revision}, header{HeaderChangeID, id})
		if got.status >= 500 && got.status != http.StatusNotImplemented {
			t.Fatal(got.status, got.body)
		}
		if _, err := d.store.Load(context.Background()); err != nil {
			t.Fatal(err)
		}
	})
}
