package cli

import (
	"context"
	"encoding/json"
	"encoding/pem"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
)

// fakeReaders implements all readers with fixed answers. A revision is in force from the query with
// the number queriesUntilInForce on.
type fakeReaders struct {
	queries atomic.Int64
}

const queriesUntilInForce = 3

func (o *fakeReaders) Confirmations(_ context.Context, revision uint64) (admin.Confirmation, error) {
	c := admin.Confirmation{Revision: revision, Members: 3, Have: 2, Needed: 3, Lagging: []string{"e3"}}
	if o.queries.Add(1) >= queriesUntilInForce {
		c = admin.Confirmation{Revision: revision, InForce: true, Members: 3, Have: 3, Needed: 3}
	}
	return c, nil
}

func (o *fakeReaders) Bills(_ context.Context, q admin.BillQuery) (admin.BillPage, error) {
	at := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	if q.Cursor == "" {
		return admin.BillPage{Bills: []admin.Bill{{Organisation: "tolu", Key: "a", Version: "dues@1", Cost: 5, At: at}}, Next: "2"}, nil
	}
	return admin.BillPage{Bills: []admin.Bill{{Organisation: "tolu", Key: "b", Service: "billing", Cost: 7, At: at}, {Organisation: "turbo", Key: "c", Cost: 1, At: at}}}, nil
}

func (o *fakeReaders) Nodes(context.Context) ([]admin.Node, error) {
	return []admin.Node{{ID: "e1", Address: "127.0.0.1:1", FailureDomain: "manga", State: "live", Revision: 4}}, nil
}

func (o *fakeReaders) Upstreams(context.Context) ([]admin.Upstream, error) {
	return []admin.Upstream{{ID: "eng1", Kind: "engine", Versions: []string{"dues@1", "dues@2"}}}, nil
}

func (o *fakeReaders) Rollouts(context.Context) ([]admin.Rollout, error) {
	return []admin.Rollout{{Version: "dues@3", Stage: "canary", Share: 0.05, Holder: "e1"}}, nil
}

func (o *fakeReaders) Holds(context.Context) ([]admin.Hold, error) {
	return []admin.Hold{{Version: "dues@3", Term: 1, Reason: "ratings", Node: "e2"}}, nil
}

func (o *fakeReaders) Lift(_ context.Context, _ string, term uint64) (bool, error) {
	return term == 1, nil
}

func (o *fakeReaders) HeldCrashes(context.Context) ([]admin.HeldCrash, error) {
	return []admin.HeldCrash{{Key: "5cf9", Of: "message", State: "convicted", Crashes: 5, Trials: 1}}, nil
}

func (o *fakeReaders) Pardon(_ context.Context, key string) (bool, error) { return key == "5cf9", nil }

// startAdmin serves the API with the tarifas example and sets the variables that the commands use to
// reach it.
func startAdmin(t *testing.T, wrap func(http.Handler) http.Handler) *admin.Store {
	t.Helper()
	is := is.New(t)
	store := admin.NewStore(memory.New())
	doc, err := example.Load("tarifas")
	is.NoErr(err)
	_, _, err = store.Put(context.Background(), 0, doc, "first")
	is.NoErr(err)
	keys, err := admin.ParseKeys([]string{"ana=" + config.HashKey("key")})
	is.NoErr(err)
	o := new(fakeReaders)
	server := httptest.NewServer(wrap(admin.NewServer(admin.Deps{
		Store: store, Keys: keys, Log: slog.New(slog.DiscardHandler),
		Confirmer: o, Bills: o, Nodes: o, Upstreams: o, Rollouts: o, Holds: o, Crashes: o,
	})))
	t.Cleanup(server.Close)
	t.Setenv("HICKORYBANK_ADMIN", server.URL)
	t.Setenv("HICKORYBANK_OPERATOR_KEY", "key")
	return store
}

func unwrapped(h http.Handler) http.Handler { return h }

func TestAdminTables(t *testing.T) {
	startAdmin(t, unwrapped)
	cases := []struct{ command, part string }{
		{"organisations", "cartagena     8       0       1     dues@1,dues@2,dues@3,lines@1,lines@2  billing   draft=0.9,explain=0.8,tag=0.72"},
		{"models", "lines  lines@1(serving),lines@2(serving)"},
		{"versions", "dues@3   dues   staged   0.05   40            900         3600         0.91"},
		{"services", "billing  POST    /settlements  false       settle     100"},
		{"classes", "receipt    immediate   2000         -      false"},
		{"presets", "maintenance  false             true      false"},
		{"preset", "ordinary"},
		{"changes", "first"},
		{"change first", "applied as revision 1"},
		{"change other", "not decided"},
		{"change other --base 0", "not applied, and never will be"},
		{"status", "revision 1 is in force on 2 of 3 nodes; not yet on e3"},
		{"bills", "tolu: 2 bills, 12 micro-units"},
		{"bills --limit 2", "there are more"},
		{"nodes", "e1    127.0.0.1:1  -     manga           live   4"},
		{"upstreams", "dues@1,dues@2"},
		{"rollout", "dues@3   canary  0.05   e1"},
		{"crashes", "5cf9  message  convicted  5        0        1"},
		{"holds", "dues@3   1     false   ratings  -      e2"},
		{"lift dues@3 --term 1", "lifted hold 1 of dues@3"},
		{"pardon 5cf9", "pardoned 5cf9"},
	}
	for _, c := range cases {
		t.Run(c.command, func(t *testing.T) {
			is := is.New(t)
			got := runCommand(append([]string{"admin"}, strings.Fields(c.command)...)...)
			if got.code != 0 || !strings.Contains(got.out, c.part) {
				t.Log(got.out, got.err)
			}
			is.Equal(got.code, 0)
			is.True(strings.Contains(got.out, c.part)) // the output has the row
			if strings.HasPrefix(c.command, "lift") || strings.HasPrefix(c.command, "pardon") {
				return
			}
			got = runCommand(append([]string{"admin"}, strings.Fields(c.command+" --json")...)...)
			is.True(json.Valid([]byte(got.out)))
		})
	}
}

func TestAdminChanges(t *testing.T) {
	is := is.New(t)
	store := startAdmin(t, unwrapped)
	version := tempFile(t, "version.json", `{"state":"serving","prior_quality":0.9}`)
	entry := tempFile(t, "new.json", `{"weight":2,"versions":["dues@1"]}`)
	steps := []struct {
		args string
		code int
		part string
	}{
		{"preset peak --dry-run", 0, "nothing was changed; from revision 1 it would be:\n  ~ preset \"ordinary\" -> \"peak\""},
		{"preset peak --wait 10s", 0, "revision 2 is in force on every node (3 of 3 confirmed)"},
		{"withdraw dues@1 --base 1", 1, "another change came first: the present revision is 2"},
		{"withdraw dues@1 --base 2 --change c7", 0, "accepted revision 3 (change c7)"},
		{"withdraw dues@1 --base 2 --change c7", 0, "it had been accepted before"},
		{"rollout dues@3 staged --share 0.2 --exposure-cap 7", 0, "share 0.05 -> 0.2"},
		{"rollout dues@3 half", 1, `"half" is not serving, staged or withdrawn`},
		{"target tolu draft 0.7", 0, "organisations[tolu].targets[draft].quality 0.9 -> 0.7"},
		{"put organisations new " + entry, 0, "+ organisations[new]"},
		{"delete organisations new", 0, "- organisations[new]"},
		{"delete organisations new", 1, "there is no organisation"},
		{"put models/dues/versions dues@4 " + version, 0, "+ models[dues].versions[dues@4]"},
		{"delete models/dues/versions dues@4", 0, "- models[dues].versions[dues@4]"},
		{"lift dues@3 --term 2", 1, "no hold of term 2"},
		{"pardon 5cf8", 1, "nothing counts against key"},
	}
	for _, s := range steps {
		got := runCommand(append([]string{"admin"}, strings.Fields(s.args)...)...)
		if !strings.Contains(got.out+got.err, s.part) {
			t.Log(s.args, got.out, got.err)
		}
		is.Equal(got.code, s.code)
		is.True(strings.Contains(got.out+got.err, s.part)) // the output has the part
	}
	head, doc, err := store.Current(context.Background())
	is.NoErr(err)
	is.Equal(head.Revision, uint64(9))
	is.Equal(doc.Preset, "peak")
}

func TestAdminGetEditApply(t *testing.T) {
	is := is.New(t)
	startAdmin(t, unwrapped)
	got := runCommand("admin", "get")
	is.Equal(got.code, 0)
	is.Equal(got.err, "revision 1\n")
	edited := tempFile(t, "next.json", strings.Replace(got.out, `"preset": "ordinary"`, `"preset": "maintenance"`, 1))
	is.Equal(runCommand("admin", "apply", edited).code, 1) // base 0, but a configuration is stored
	applied := runCommand("admin", "apply", edited, "--base", "1", "--json")
	is.Equal(applied.code, 0)
	var a admin.Acceptance
	is.NoErr(json.Unmarshal([]byte(applied.out), &a))
	is.Equal(a.Revision, uint64(2))
	is.Equal(runCommand("admin", "preset").out, "maintenance\n")
	is.Equal(runCommand("admin", "get", "--revision", "1").out, got.out)
}

// A lost answer does not mean that the change had no effect, so it must not be reported
// as such a failure. If only the first answer is lost, the command sends the same change
// again and it is applied once. If all answers are lost, the command reports that the
// outcome is unknown and prints the command that queries it.
func TestLostAnswerIsRetriedOrReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	var answersToLose atomic.Int64
	store := startAdmin(t, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet || answersToLose.Add(-1) < 0 {
				h.ServeHTTP(w, r)
				return
			}
			h.ServeHTTP(httptest.NewRecorder(), r)
			_, _ = io.Copy(io.Discard, r.Body)
			panic(http.ErrAbortHandler)
		})
	})
	answersToLose.Store(1)
	got := runCommand("admin", "preset", "peak")
	is.Equal(got.code, 0)
	is.True(strings.Contains(got.out, "accepted revision 2"))
	answersToLose.Store(1000)
	got = runCommand("admin", "preset", "ordinary", "--change", "c9", "--timeout", "1s")
	is.Equal(got.code, 1)
	is.True(strings.Contains(got.err, "unknown: the change may have been applied"))
	is.True(strings.Contains(got.err, "hickorybank admin change c9 --base 2"))
	is.True(strings.Contains(runCommand("admin", "change", "c9", "--base", "2").out, "applied as revision 3"))
	head, _, err := store.Head(context.Background())
	is.NoErr(err)
	is.Equal(head.Revision, uint64(3))
}

// The nodes' certificates are signed by a private authority. The command must accept them only with
// that authority's file. Without it, the command must not send the key to the server.
func TestAdminOverTLS(t *testing.T) {
	is := is.New(t)
	keys, err := admin.ParseKeys([]string{config.HashKey("key")})
	is.NoErr(err)
	api := admin.NewServer(admin.Deps{Store: admin.NewStore(memory.New()), Keys: keys, Nodes: new(fakeReaders), Log: slog.New(slog.DiscardHandler)})
	var requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		api.ServeHTTP(w, r)
	}))
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.StartTLS()
	defer server.Close()
	args := []string{"admin", "nodes", "--admin", server.URL, "--operator-key", "key"}
	is.Equal(runCommand(args...).code, 1)
	is.Equal(requests.Load(), int64(0))
	authority := tempFile(t, "ca.pem", string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})))
	is.Equal(runCommand(append(args, "--tls-authority", authority)...).code, 0)
	got := runCommand(append(args, "--tls-authority", tempFile(t, "bad.pem", "none"))...)
	is.Equal(got.code, 1)
	is.True(strings.Contains(got.err, "holds no certificate"))
}
