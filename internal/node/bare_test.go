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

// bareUpstream is an engine and a plain service over bare TCP that spends as
// little processor time as can be. It sends the next piece of an answer when
// the caller has had the one before, as it is with a gap between tokens.
type bareUpstream struct {
	*rawhttp.Server
	pieces int
	turns  []chan struct{} // by caller
}

// bareMark stands before the caller's number in a body.
const bareMark = "caller "

func newBareUpstream(b testing.TB, pieces int, turns []chan struct{}) *bareUpstream {
	b.Helper()
	u := &bareUpstream{pieces: pieces, turns: turns}
	server, err := rawhttp.Listen(u)
	if err != nil {
		b.Fatal(err)
	}
	u.Server = server
	return u
}

func (u *bareUpstream) vm(role platform.Role, name string) platform.VM {
	vm := platform.VM{ID: name, Role: role, Addr: u.Addr(), FailureDomain: domains[0], State: platform.Live}
	if role == platform.RoleService {
		vm.Service = "billing"
	}
	return vm
}

// Head lets every body be read.
func (u *bareUpstream) Head(net.Conn, *http.Request) bool { return true }

// Answer streams to attempts of model work, and answers all else in one piece.
func (u *bareUpstream) Answer(conn net.Conn, req *http.Request, body []byte) error {
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
