package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/gateway"
)

// startCrashesNode starts a stand-in for a node that holds one key until it is pardoned.
func startCrashesNode(t *testing.T) string {
	held := gateway.HeldKeys{Node: "n1", Keys: []crashguard.HeldKey{{Key: "5cf9", Part: true, Convicted: true, Strikes: 5, Moments: 4, Late: 1, Answered: "never", LastCrashMs: 61_000, Trials: 1, NextTrialMs: 30_000}}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodDelete && r.URL.Path == gateway.CrashesPath+"/5cf9":
			held.Keys = nil
		case r.Method == http.MethodDelete:
			w.WriteHeader(http.StatusNotFound)
			_, _ = w.Write([]byte(`{"error":"nothing counts against key 5cf8"}`))
			return
		}
		_ = json.NewEncoder(w).Encode(held)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Fails if the table or the JSON lacks a part of the evidence, or an exit code is wrong.
func TestCrashesCommand(t *testing.T) {
	is := is.New(t)
	node := startCrashesNode(t)
	ask := func(more ...string) commandResult {
		return runCommand(append([]string{"crashes", "--node", node}, more...)...)
	}
	table := ask()
	is.Equal(table.code, exitOK)
	for _, part := range []string{"5cf9", "part", "convicted", "never", "1m1s ago", "30s"} {
		is.True(strings.Contains(table.out, part)) // the table has the part
	}
	var held gateway.HeldKeys
	is.NoErr(json.Unmarshal([]byte(ask("--json").out), &held))
	is.Equal(held.Keys[0].Strikes, 5)
	for _, c := range []struct {
		more []string
		code int
		part string
	}{
		{[]string{"--pardon", "5cf8"}, exitFailed, "answered 404: nothing counts against key 5cf8"},
		{[]string{"--pardon", "other"}, exitUsage, "hexadecimal"},
		{[]string{"--pardon", "5cf9"}, exitOK, "n1 refuses no requests"},
	} {
		got := ask(c.more...)
		is.Equal(got.code, c.code)
		is.True(strings.Contains(got.out+got.err, c.part)) // the output has the part
	}
}
