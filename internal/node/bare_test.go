package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// bareUpstream is an engine and a plain service over bare TCP that spends as
// little processor time as can be. It sends the next piece of an answer when
// the caller has had the one before, as it is with a gap between tokens.
type bareUpstream struct {
	listener net.Listener
	pieces   int
	turns    []chan struct{} // by caller
	duties   conc.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// bareMark stands before the caller's number in a body.
const bareMark = "caller "

func newBareUpstream(b testing.TB, pieces int, turns []chan struct{}) *bareUpstream {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	u := &bareUpstream{listener: listener, pieces: pieces, turns: turns}
	u.duties.Go(u.accept)
	return u
}

func (u *bareUpstream) addr() string { return u.listener.Addr().String() }

func (u *bareUpstream) vm(role platform.Role, name string) platform.VM {
	vm := platform.VM{ID: name, Role: role, Addr: u.addr(), FailureDomain: domains[0], State: platform.Live}
	if role == platform.RoleService {
		vm.Service = "billing"
	}
	return vm
}

func (u *bareUpstream) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		u.mu.Lock()
		u.conns = append(u.conns, conn)
		u.mu.Unlock()
		u.duties.Go(func() { u.serve(conn) })
	}
}

func (u *bareUpstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || u.answer(conn, req, body) != nil {
			return
		}
	}
}

func (u *bareUpstream) answer(conn net.Conn, req *http.Request, body []byte) error {
	if attempt := req.Header.Get("X-Attempt-Id"); attempt != "" {
		return u.stream(conn, attempt, u.turnOf(body))
	}
	data := []byte(`{"receipt":"R-1","state":"settled"}`)
	if req.URL.Path == "/load" {
		data, _ = json.Marshal(upstream.LoadReport{Limit: 1 << 10, Versions: []string{"dues@1", "dues@2", "lines@1", "lines@2"}, Epoch: 1}) // plain fields
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	return err
}

func (u *bareUpstream) turnOf(body []byte) <-chan struct{} {
	_, after, _ := bytes.Cut(body, []byte(bareMark))
	caller := 0
	_, _ = fmt.Sscan(string(after[:bytes.IndexByte(after, '.')]), &caller)
	return u.turns[caller]
}

func (u *bareUpstream) stream(conn net.Conn, attempt string, turn <-chan struct{}) error {
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for seq := 1; seq < u.pieces; seq++ {
		event := fmt.Sprintf("id: %d\ndata: {\"attempt\":%q,\"seq\":%d,\"text\":\"token \"}\n\n", seq, attempt, seq)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		if turn != nil {
			<-turn
		}
	}
	event := fmt.Sprintf("id: %d\ndata: {\"attempt\":%q,\"seq\":%d,\"text\":\"end\",\"done\":true,\"finish_reason\":\"stop\",\"usage\":{\"input_tokens\":90,\"output_tokens\":%d,\"cached_tokens\":0}}\n\n", u.pieces, attempt, u.pieces, u.pieces)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	return err
}

func (u *bareUpstream) close() {
	_ = u.listener.Close()
	u.mu.Lock()
	for _, c := range u.conns {
		_ = c.Close()
	}
	u.mu.Unlock()
	u.duties.Wait()
}

// bareRelay is the least that stands between a caller and an upstream with
// net/http: the body read, one request on, the bytes passed on as they come.
type bareRelay struct {
	listener  net.Listener
	server    *http.Server
	transport *http.Transport
	to        string
	serving   conc.WaitGroup
}

func newBareRelay(b testing.TB, to string) *bareRelay {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	r := &bareRelay{listener: listener, to: to, transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
	r.server = &http.Server{Handler: r}
	r.serving.Go(func() { _ = r.server.Serve(listener) }) // returns when closed
	return r
}

func (r *bareRelay) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	body, err := io.ReadAll(in.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequestWithContext(in.Context(), in.Method, "http://"+r.to+in.URL.Path, bytes.NewReader(body))
	if err != nil {
		return
	}
	out.Header.Set("X-Attempt-Id", in.Header.Get("X-Attempt-Id"))
	res, err := r.transport.RoundTrip(out)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = res.Body.Close() }()
	w.Header()["Content-Type"] = res.Header["Content-Type"]
	flush := http.NewResponseController(w)
	buffer := make([]byte, 4<<10)
	for {
		n, err := res.Body.Read(buffer)
		_, _ = w.Write(buffer[:n])
		if err != nil {
			return
		}
		_ = flush.Flush()
	}
}

func (r *bareRelay) close() {
	_ = r.server.Shutdown(context.Background())
	r.serving.Wait()
	r.transport.CloseIdleConnections()
}

// bareCaller asks for one answer after another over bare TCP.
type bareCaller struct {
	conn net.Conn
	in   *bufio.Reader
	ask  []byte
	turn chan<- struct{} // nil for answers in one piece
	rest int             // pieces for which the upstream waits
}

func (c *bareCaller) run() error {
	if _, err := c.conn.Write(c.ask); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body) // for the message only
		return fmt.Errorf("status %d: %s", res.StatusCode, text)
	}
	if c.turn == nil {
		_, err = io.Copy(io.Discard, res.Body)
		return err
	}
	return c.follow(bufio.NewReader(res.Body))
}

// follow reads the events and lets the upstream send the next for each.
func (c *bareCaller) follow(in *bufio.Reader) error {
	for events := 0; ; {
		line, err := in.ReadSlice('\n')
		if err == io.EOF && events > c.rest {
			return nil
		}
		if err != nil {
			return err
		}
		if len(line) > 1 {
			continue
		}
		events++
		if events <= c.rest {
			c.turn <- struct{}{}
		}
	}
}
