package gateway

import (
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/event"
)

// CrashesPath is where a node lists the keys of which it refuses requests because they crash
// upstreams, on the address of its metrics. A DELETE of CrashesPath/KEY pardons one; only processes
// of the same VM may send it.
const CrashesPath = "/crashes"

// HeldKeys is the answer at [CrashesPath].
type HeldKeys struct {
	Node string               `json:"node"`
	Keys []crashguard.HeldKey `json:"keys"`
}

// listHeldKeys answers with the convicted and quarantined keys.
func (n *Node) listHeldKeys(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	n.mu.Lock()
	answer := HeldKeys{Node: n.settings.ID, Keys: n.crashGuard.Held(time.Now())}
	n.mu.Unlock()
	writeJSON(w, http.StatusOK, &answer)
}

// pardonKey pardons a key, at all nodes and in the table.
func (n *Node) pardonKey(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	key, err := crashguard.ParseKey(p.ByName("key"))
	switch {
	case !isOfThisHost(r):
		writeError(w, http.StatusForbidden, "a key is pardoned by a process of the node's own VM only")
		return
	case err != nil:
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	n.mu.Lock()
	pardoned := n.crashGuard.Pardon(key, time.Now())
	if pardoned {
		n.noteOwnEvidence()
	}
	n.mu.Unlock()
	if !pardoned {
		writeError(w, http.StatusNotFound, "nothing counts against key "+keyText(key))
		return
	}
	event.CrashPardoned.Log(n.log, slog.String("key", keyText(key)), slog.String("client", r.RemoteAddr))
	n.listHeldKeys(w, r, p)
}

// isOfThisHost reports whether a request comes from the address on which it arrived, or from a
// loopback address.
func isOfThisHost(r *http.Request) bool {
	client, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return false
	}
	if ip := net.ParseIP(client); ip != nil && ip.IsLoopback() {
		return true
	}
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	own, _, err := net.SplitHostPort(local.String())
	return err == nil && own == client
}

func writeError(w http.ResponseWriter, status int, text string) {
	writeJSON(w, status, map[string]string{"error": text})
}

func writeJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the caller may have gone
}
