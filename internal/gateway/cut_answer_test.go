package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickorybank/hickorybank/internal/cascade"
	"github.com/hickorybank/hickorybank/internal/exchange"
	"github.com/hickorybank/hickorybank/internal/route"
)

const headerLastEvent = "Last-Event-Id"

// resumingDialect passes on the last event and reads the confidence of an answer.
type resumingDialect struct{ plainDialect }

func (resumingDialect) Forward(_ http.Header, _ *CallerHeaders, order *ForwardHeaders) []exchange.Field {
	return []exchange.Field{{Name: headerLastEvent, Value: order.LastEvent}}
}

func (resumingDialect) Reply(_ int, h http.Header) Reply {
	percent, err := strconv.Atoi(h.Get("Confidence"))
	return Reply{Confidence: percent, HasConfidence: err == nil}
}

// cutPipe is a connection whose upstream ends it by a close or, with reset, by a reset.
type cutPipe struct {
	onePipe
	reset bool
}

func (c cutPipe) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF && c.reset {
		err = syscall.ECONNRESET
	}
	return n, err
}

// cutDialer connects to an upstream whose answer is cut, and to another one that answers in full.
type cutDialer struct {
	sent  string
	reset bool
	plain bool
}

func (d cutDialer) Dial(_ context.Context, addr string) (net.Conn, error) {
	ours, theirs := net.Pipe()
	go func() {
		defer func() { _ = theirs.Close() }()
		req, err := http.ReadRequest(bufio.NewReader(theirs))
		switch {
		case err != nil:
		case addr == "u0":
			_, _ = io.WriteString(theirs, d.sent) // the reader may have left
		case d.plain:
			reply(theirs, http.StatusOK, cutBody)
		default:
			last, _ := strconv.Atoi(req.Header.Get(headerLastEvent)) // 0 if empty
			startStream(theirs, streamText(last+1, 2))
			if last < 2 {
				sendChunk(theirs, "")
			}
		}
	}()
	return cutPipe{onePipe{ours}, d.reset && addr == "u0"}, nil
}

// cutBody is the body of the answers that are cut.
var cutBody = streamText(1, 2)

// answerForm is a form of an answer with cutBody.
type answerForm struct {
	name, text string
	// unframed is set if the answer ends with its connection.
	unframed bool
	// body is what a caller gets of the whole answer.
	body string
}

// answerForms returns the forms in which an upstream may frame an answer.
func answerForms() []answerForm {
	const ok = "HTTP/1.1 200 OK\r\n"
	half := len(cutBody)/2 - 1
	length := fmt.Sprintf("Content-Length: %d\r\n", len(cutBody))
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;a=b\r\n%s\r\n0\r\n", half, cutBody[:half], len(cutBody)-half, cutBody[half:])
	return []answerForm{
		{"chunks", ok + chunked + "\r\n", false, cutBody},
		{"chunks with a trailer", ok + "Trailer: X\r\n" + chunked + "X: y\r\n\r\n", false, cutBody},
		{"chunks and a length", ok + length + chunked + "\r\n", false, cutBody},
		{"length", ok + length + "\r\n" + cutBody, false, cutBody},
		{"length, connection closes", ok + "Connection: close\r\n" + length + "\r\n" + cutBody, false, cutBody},
		{"length twice", ok + length + length + "\r\n" + cutBody, false, cutBody},
		{"two lengths", ok + length + "Content-Length: 3\r\n\r\n" + cutBody, false, cutBody},
		{"length 0", ok + "Content-Length: 0\r\n\r\n", false, ""},
		{"after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + length + "\r\n" + cutBody, false, cutBody},
		{"confident", ok + "Confidence: 90\r\n" + chunked + "\r\n", false, cutBody},
		{"not confident", ok + "Confidence: 10\r\n" + chunked + "\r\n", false, cutBody},
		{"neither", ok + "\r\n" + cutBody, true, cutBody},
		{"neither, connection closes", ok + "Connection: close\r\n\r\n" + cutBody, true, cutBody},
		{"neither, after interim responses", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "\r\n" + cutBody, true, cutBody},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n" + cutBody, true, cutBody},
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + length + "\r\n" + cutBody, false, cutBody},
	}
}

// permits reports whether a caller may get a body as complete after the answer was cut.
func (f *answerForm) permits(body string, reset, plain bool) bool {
	switch {
	case body == f.body || body == cutBody: // of the other upstream
		return true
	case !f.unframed || reset || !strings.HasPrefix(f.body, body):
		return false
	}
	return plain || body == streamText(1, 1) // between events, the end says nothing
}

// Fails if a caller gets a success that looks complete without its upstream's whole body, or an
// event twice, wherever the upstream's answer is cut.
func TestCutAnswerNeverLooksComplete(t *testing.T) {
	routes := []struct {
		name  string
		route route.Route
	}{
		{"idempotent", route.Route{Kind: route.Idempotent}},
		{"once", route.Route{Kind: route.Once}},
		{"resumable stream", route.Route{Kind: route.Stream, Resumable: true}},
		{"stream", route.Route{Kind: route.Stream}},
		{"stream with models", route.Route{Kind: route.Stream, Resumable: true, Models: []string{"small", "large"}}},
	}
	for _, to := range routes {
		for _, form := range answerForms() {
			t.Run(to.name+"/"+form.name, func(t *testing.T) {
				t.Parallel()
				plain := to.route.Kind != route.Stream
				var plays sync.WaitGroup
				for cut := range len(form.text) + 1 {
					for _, reset := range []bool{false, true} {
						plays.Go(func() {
							status, body, complete := playCut(t, to.route, cutDialer{sent: form.text[:cut], reset: reset, plain: plain})
							if !strings.HasPrefix(cutBody, body) && status == http.StatusOK ||
								complete && status == http.StatusOK && !form.permits(body, reset, plain) {
								t.Errorf("cut after %d of %d bytes, reset %t: complete %t, body %q", cut, len(form.text), reset, complete, body)
							}
						})
					}
				}
				plays.Wait()
			})
		}
	}
}

// playCut runs one request whose first upstream's answer is cut.
func playCut(t *testing.T, to route.Route, d cutDialer) (status int, body string, complete bool) {
	n := newPipeNode(pipeDialer{"u0": nil, "u1": nil}, 100)
	n.pool = exchange.NewPool(exchange.Settings{Dialer: d})
	n.dialect = resumingDialect{}
	n.cascadePolicy = cascade.New(cascade.Settings{Accept: 60, AcceptBusy: 60, AcceptFull: 60})
	w := httptest.NewRecorder()
	j := newStreamJob(t, n, w)
	to.Shares, to.MaxAttempts, to.LatencyGoal, to.GapGoal = j.route.Shares, 2, 3*time.Second, time.Minute
	*j.route = to
	j.headers.AnyModel = len(to.Models) > 0
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
		status, body = w.Code, w.Body.String()
	}()
	j.run()
	return 0, "", true
}
