package node

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/balance"
	"github.com/hickorybank/hickorybank/internal/intake"
	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/membership"
	"github.com/hickorybank/hickorybank/internal/telemetry"
)

// operators implements the data sources of the administration API.
type operators struct{ node *Node }

// listenOperators opens the listener for operators within bounds if one is configured.
func (n *Node) listenOperators(bounds intake.Settings) error {
	if n.settings.AdminListen == "" {
		return nil
	}
	listener, err := net.Listen("tcp", n.settings.AdminListen)
	if err != nil {
		return eris.Wrapf(err, "listen for operators on %s", n.settings.AdminListen)
	}
	intake.BoundUnread(listener)
	n.adminListener = intake.NewListener(withTLS(listener, n.settings.TLS.Callers), bounds)
	return nil
}

// AdminAddr returns the address of the listener for operators, as IP and port. It is empty when
// the node has no administration API.
func (n *Node) AdminAddr() string {
	if n.adminListener == nil {
		return ""
	}
	return n.adminListener.Addr().String()
}

// serveOperators serves the administration API, metrics, profiles and health checks on the
// operators' listener.
func (n *Node) serveOperators() {
	if n.adminListener == nil {
		return
	}
	o := &operators{node: n}
	mux := http.NewServeMux()
	mux.Handle("/admin/", admin.NewServer(admin.Deps{
		Store: n.store, Keys: n.operatorKeys, Confirmer: o, Bills: o, Nodes: o, Upstreams: o, Rollouts: o, Holds: o, Crashes: o,
		OnAccepted: func(uint64) { n.sync.RequestRead() }, Log: n.deps.Log,
	}))
	mux.Handle("/metrics", n.metrics.Handler())
	mux.Handle("/debug/pprof/", n.operatorsOnly(http.HandlerFunc(pprof.Index)))
	mux.Handle("/debug/pprof/profile", n.operatorsOnly(http.HandlerFunc(pprof.Profile)))
	mux.Handle("/healthz", telemetry.Healthz())
	mux.Handle("/readyz", telemetry.Readyz(n.notReady))
	n.adminServer = &http.Server{Handler: intake.Handler(mux), ConnContext: intake.ConnContext, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	n.duties.Go(func() { _ = n.adminServer.Serve(n.adminListener) }) // returns when closed
}

// operatorsOnly requires an operator's key as bearer token: a profile costs processor time and
// reveals internals of the node.
func (n *Node) operatorsOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if _, ok := n.operatorKeys.Operator(key); !ok {
			http.Error(w, "an operator's key is needed", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// notReady returns the reasons why the node accepts no new work, or none.
func (n *Node) notReady() []string {
	if _, fail := n.admit(); fail != nil {
		return []string{fail.Message}
	}
	if !n.upstreams.anyReported() {
		return []string{"no upstream has reported its load yet"}
	}
	return nil
}

// Confirmations returns how many nodes have confirmed a revision and whether it is in force.
func (o *operators) Confirmations(ctx context.Context, revision uint64) (admin.Confirmation, error) {
	c, err := o.node.sync.Confirmations(ctx, revision)
	return admin.Confirmation{
		Revision: c.Revision, InForce: c.InForce, Members: c.Members, Have: c.Have, Needed: c.Needed,
		Lagging: c.Lagging, LaggingMore: c.LaggingMore, SinceMillis: c.Since.Milliseconds(),
	}, err
}

// Bills returns one page of the bills that match the query.
func (o *operators) Bills(ctx context.Context, q admin.BillQuery) (admin.BillPage, error) {
	page, err := o.node.ledger.Bills(ctx, ledger.BillQuery{Org: q.Organisation, From: q.From, To: q.To, Cursor: q.Cursor})
	out := admin.BillPage{Bills: make([]admin.Bill, 0, len(page.Bills)), Next: page.Next}
	for _, b := range page.Bills {
		out.Bills = append(out.Bills, admin.Bill{
			Organisation: b.Org, Key: b.Key, Class: b.Class, Version: b.Version, Service: b.Service, Cost: b.Cost,
			InputTokens: b.InputTokens, OutputTokens: b.OutputTokens, At: b.At,
		})
	}
	return out, err
}

// Nodes lists the entry nodes as this node sees them. Only its own entry has a revision and a
// detail.
func (o *operators) Nodes(context.Context) ([]admin.Node, error) {
	var out []admin.Node
	for _, m := range o.node.members.View().Entries {
		entry := admin.Node{ID: m.ID, Address: m.Addr, Peer: m.Peer, FailureDomain: m.FailureDomain, State: m.State.String()}
		if m.ID == o.node.settings.ID {
			status := o.node.sync.Status()
			entry.Revision = status.Revision
			entry.Detail = selfDetail(status.Fresh, status.Outage)
		}
		out = append(out, entry)
	}
	return out, nil
}

func selfDetail(fresh, outage bool) string {
	switch {
	case outage:
		return "serves without the platform's table"
	case fresh:
		return "configuration is fresh"
	default:
		return "configuration is not fresh: new work is refused"
	}
}

// Upstreams lists the upstreams in this node's balancer.
func (o *operators) Upstreams(context.Context) ([]admin.Upstream, error) {
	states := upstreamStates(o.node.members.View())
	var out []admin.Upstream
	for _, h := range o.node.upstreams.status() {
		out = append(out, adminUpstream(h, states[h.VM.ID]))
	}
	return out, nil
}

func adminUpstream(h balance.HostStatus, state string) admin.Upstream {
	u := admin.Upstream{
		ID: h.VM.ID, Kind: string(h.VM.Role), Service: h.VM.Service, Address: h.VM.Addr, FailureDomain: h.VM.FailureDomain,
		State: state, Running: h.InFlight, Versions: h.Versions, AgeMillis: -1,
	}
	if h.ReportAge >= 0 {
		u.AgeMillis = h.ReportAge.Milliseconds()
	}
	switch {
	case h.Open:
		u.Detail = "breaker is open"
	case h.Ejected:
		u.Detail = "slow but alive: ejected for a while"
	}
	return u
}

func upstreamStates(v *membership.View) map[string]string {
	states := map[string]string{}
	for _, m := range v.Engines {
		states[m.ID] = m.State.String()
	}
	for _, s := range v.Services {
		for _, m := range s.Members {
			states[m.ID] = m.State.String()
		}
	}
	return states
}

// registerGauges registers the gauges that are computed when the metrics are scraped.
func (n *Node) registerGauges() {
	n.metrics.Gauge("hickorybank_config_revision", func() float64 { return float64(n.sync.Status().Revision) })
	n.metrics.Gauge("hickorybank_config_proof_age_seconds", func() float64 { return n.sync.Status().ProofAge.Seconds() })
	n.metrics.Gauge("hickorybank_requests_running", func() float64 { return float64(n.running.Load()) })
	n.metrics.Gauge("hickorybank_bills_waiting", func() float64 { return float64(n.ledger.Stats().Waiting) })
	n.metrics.Gauge("hickorybank_bills_held", func() float64 { return float64(n.ledger.Stats().Held) })
}
