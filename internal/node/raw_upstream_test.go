package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/rawhttp"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// rawUpstream is an engine and a plain service over raw TCP that uses as little processor time
// as possible. It sends the next chunk of an answer only after the caller has received the one
// before, as an engine with a gap between tokens does.
type rawUpstream struct {
	*rawhttp.Server
	chunks int
	turns  []chan struct{} // by caller
}

// callerMarker precedes the caller's number in a request body.
const callerMarker = "caller "

func newRawUpstream(b testing.TB, chunks int, turns []chan struct{}) *rawUpstream {
	b.Helper()
	u := &rawUpstream{chunks: chunks, turns: turns}
	server, err := rawhttp.Listen(u)
	if err != nil {
		b.Fatal(err)
	}
	u.Server = server
	return u
}

func (u *rawUpstream) vm(role platform.Role, name string) platform.VM {
	vm := platform.VM{ID: name, Role: role, Addr: u.Addr(), FailureDomain: domains[0], State: platform.Live}
	if role == platform.RoleService {
		vm.Service = "billing"
	}
	return vm
}

// Head accepts every request, so that its body is read.
func (u *rawUpstream) Head(net.Conn, *http.Request) bool { return true }

// Answer streams an answer to a chat attempt and sends a fixed body for any other request.
func (u *rawUpstream) Answer(conn net.Conn, req *http.Request, body []byte) error {
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

func (u *rawUpstream) turnOf(body []byte) <-chan struct{} {
	_, after, _ := bytes.Cut(body, []byte(callerMarker))
	caller := 0
	_, _ = fmt.Sscan(string(after[:bytes.IndexByte(after, '.')]), &caller)
	return u.turns[caller]
}

func (u *rawUpstream) stream(conn net.Conn, attempt string, turn <-chan struct{}) error {
	if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for seq := 1; seq < u.chunks; seq++ {
		event := fmt.Sprintf("id: %d\ndata: {\"attempt\":%q,\"seq\":%d,\"text\":\"token \"}\n\n", seq, attempt, seq)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		if turn != nil {
			<-turn
		}
	}
	event := fmt.Sprintf("id: %d\ndata: {\"attempt\":%q,\"seq\":%d,\"text\":\"end\",\"done\":true,\"finish_reason\":\"stop\",\"usage\":{\"input_tokens\":90,\"output_tokens\":%d,\"cached_tokens\":0}}\n\n", u.chunks, attempt, u.chunks, u.chunks)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	return err
}
