package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/ledger"
	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/seal"
	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	"github.com/hickorybank/hickorybank/internal/standin/service"
	"github.com/hickorybank/hickorybank/internal/upstream"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

// waitLimit is long, so that a slow machine does not fail a test.
const waitLimit = 60 * time.Second

// fleet is a deployment within one process. All components communicate over loopback except
// the platform, which is called directly.
type fleet struct {
	t        testing.TB
	store    *memory.Platform
	doc      *config.Document
	nodes    []*Node
	engines  []*engine.Server
	services []*service.Server
	// links are the nodes' links to upstreams, by the nodes' indexes.
	links []*lossyLinks
}

// fleetSize configures the components that newFleet starts.
type fleetSize struct {
	nodes      int
	engines    int
	services   int
	tokens     int // of each answer
	tokenGap   time.Duration
	firstToken time.Duration // time to the first token
	// through is what the nodes' requests to engines pass through, if set.
	through func(upstream.Engines) upstream.Engines
}

var domains = []string{"manga", "bocagrande", "mamonal", "getsemani"}

func newFleet(t testing.TB, size fleetSize) *fleet {
	t.Helper()
	is := is.New(t)
	doc, err := example.Load("tarifas")
	is.NoErr(err)
	f := &fleet{t: t, doc: doc, store: memory.New(memory.WithSeed(1))}
	_, applied, err := admin.NewStore(f.store).Put(context.Background(), 0, doc, "first")
	is.NoErr(err)
	is.True(applied)
	for i := range size.engines {
		f.addEngine(i, size)
	}
	for i := range size.services {
		f.addService(i)
	}
	for i := range size.nodes {
		f.addNode(i, size.through)
	}
	f.t.Cleanup(f.closeNodes)
	for _, n := range f.nodes {
		f.await("node serves", func() bool { return len(n.notReady()) == 0 && f.knows(n, size) })
	}
	return f
}

// knows reports whether a node has load reports of all upstreams and lists all nodes.
func (f *fleet) knows(n *Node, size fleetSize) bool {
	ready := 0
	for _, h := range n.upstreams.status() {
		if h.VM.Role == platform.RoleService || len(h.Versions) > 0 {
			ready++
		}
	}
	return ready == size.engines+size.services && len(n.entries()) == size.nodes
}

func (f *fleet) addEngine(i int, size fleetSize) {
	is := is.New(f.t)
	id := "eng" + strconv.Itoa(i)
	s, err := engine.New(engine.Settings{
		ID: id, Listen: "127.0.0.1:0", FailureDomain: domains[i%len(domains)], BatchLimit: 64,
		Versions:         []string{"dues@1", "dues@2", "lines@1", "lines@2"},
		TimeToFirstToken: size.firstToken, TokenGap: size.tokenGap, TokensPerAnswer: size.tokens, Seed: uint64(i),
	}, discardLogs())
	is.NoErr(err)
	is.NoErr(s.Start())
	f.engines = append(f.engines, s)
	f.t.Cleanup(func() { _ = s.Close(context.Background()) })
	is.NoErr(f.store.RegisterVM(context.Background(), platform.VM{
		ID: id, Role: platform.RoleEngine, Addr: s.Addr(), FailureDomain: domains[i%len(domains)], State: platform.Live,
	}))
}

func (f *fleet) addService(i int) {
	is := is.New(f.t)
	id := "bill" + strconv.Itoa(i)
	s, err := service.New(service.Settings{ID: id, Service: "billing", Listen: "127.0.0.1:0", FailureDomain: domains[i%len(domains)]}, discardLogs())
	is.NoErr(err)
	is.NoErr(s.Start())
	f.services = append(f.services, s)
	f.t.Cleanup(func() { _ = s.Close(context.Background()) })
	is.NoErr(f.store.RegisterVM(context.Background(), platform.VM{
		ID: id, Role: platform.RoleService, Service: "billing", Addr: s.Addr(), FailureDomain: domains[i%len(domains)], State: platform.Live,
	}))
}

func (f *fleet) addNode(i int, through func(upstream.Engines) upstream.Engines) *Node {
	is := is.New(f.t)
	lossy := &lossyLinks{}
	f.links = append(f.links, lossy)
	links := NewLinks(lossy)
	var engines upstream.Engines = upstreamclient.NewEngines(upstreamclient.Options{Dialer: links})
	if through != nil {
		engines = through(engines)
	}
	n, err := New(Settings{
		ID: "e" + strconv.Itoa(i), FailureDomain: domains[i%len(domains)],
		Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", AddressTTL: 200 * time.Millisecond,
		SessionKeys: [][]byte{[]byte(strings.Repeat("k", seal.MinKeyBytes))}, Seed: uint64(i),
	}, Deps{
		Platform: f.store, Engines: engines,
		Services: upstreamclient.NewServices(upstreamclient.Options{Dialer: links}), Links: links, Log: discardLogs(),
	})
	is.NoErr(err)
	is.NoErr(n.Start())
	f.nodes = append(f.nodes, n)
	is.NoErr(f.store.RegisterVM(context.Background(), n.VM()))
	return n
}

// closeNodes stops all nodes concurrently.
func (f *fleet) closeNodes() {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var closing conc.WaitGroup
	for _, n := range f.nodes {
		closing.Go(func() { _ = n.Close(ctx) })
	}
	closing.Wait()
}

func discardLogs() *slog.Logger { return slog.New(slog.DiscardHandler) }

func (f *fleet) await(what string, ok func() bool) {
	f.t.Helper()
	end := time.Now().Add(waitLimit)
	for !ok() {
		if time.Now().After(end) {
			f.t.Fatalf("%s: did not happen within %s", what, waitLimit)
		}
		time.Sleep(time.Millisecond)
	}
}

// reply is an HTTP response with its complete body.
type reply struct {
	status int
	header http.Header
	body   string
}

// callerRequest is a POST request of a caller.
type callerRequest struct {
	path   string
	key    string
	body   string
	header map[string]string
}

func (f *fleet) post(n *Node, s callerRequest) (reply, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Addr()+s.path, bytes.NewReader([]byte(s.body)))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer demo-cartagena")
	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}
	for name, value := range s.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body)}, err
}

func (f *fleet) chat(n *Node, model, key, text string) (reply, error) {
	body := `{"model":"` + model + `","messages":[{"role":"user","content":"` + text + `"}]}`
	return f.post(n, callerRequest{path: "/v1/chat/completions", key: key, body: body})
}

func (f *fleet) settle(n *Node, key, text string) (reply, error) {
	return f.post(n, callerRequest{path: "/v1/services/billing/settlements", key: key, body: `{"text":"` + text + `"}`})
}

// isComplete reports whether the answer is complete and belongs to the prompt.
func isComplete(r reply, text string, tokens int) bool {
	return r.status == http.StatusOK && strings.Contains(r.body, engine.Digest(text)) && strings.Contains(r.body, "t"+strconv.Itoa(tokens)+" ")
}

// bills returns the number of bills by key.
func (f *fleet) bills() map[string]int {
	reader := ledger.New(ledger.DefaultSettings(), ledger.Deps{Table: f.store, Objects: f.store.Objects(), Log: discardLogs()})
	now := time.Now()
	q := ledger.BillQuery{From: now.Add(-time.Hour), To: now.Add(time.Hour)}
	counts := map[string]int{}
	for {
		page, err := reader.Bills(context.Background(), q)
		is.New(f.t).NoErr(err)
		for _, b := range page.Bills {
			counts[b.Key]++
		}
		if page.Next == "" {
			return counts
		}
		q.Cursor = page.Next
	}
}
