package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testClock is a clock that a test sets.
type testClock struct{ at time.Time }

func (c *testClock) now() time.Time { return c.at }

// Fails if a complete request or one that makes progress is evicted, or if a stalled one is not.
func TestStalledUploadMakesRoom(t *testing.T) {
	is := is.New(t)
	clock := &testClock{at: time.Unix(1000, 0)}
	a := NewAccount(100_000)
	a.now = clock.now
	count := 0
	a.OnEvicted(func() { count++ })
	evicted := ""
	begin := func(name string) *Holding { return a.holdUnfinished(func() { evicted += name }) }
	complete, moving, stalled := begin("complete "), begin("moving "), begin("stalled ")
	for _, h := range []*Holding{complete, moving, stalled} {
		is.True(h.Reserve(33_000))
	}
	is.True(complete.Complete())
	late := begin("late ")
	is.True(!late.Reserve(33_000)) // none is stalled
	clock.at = clock.at.Add(stalledAfter)
	moving.received(progressBytes)
	stalled.received(progressBytes - 1)
	is.True(late.Reserve(33_000))
	is.Equal(evicted, "stalled ")
	is.Equal(count, 1)
	is.True(stalled.Evicted())
	is.True(!stalled.Complete())
	is.True(!stalled.Reserve(1))
	is.Equal(a.Used(), int64(99_000))
	for _, h := range []*Holding{complete, moving, stalled, late} {
		h.Release()
		h.Release()
	}
	is.Equal(a.Used(), int64(0))
}

// Fails if the lines of a head are not counted, wherever its bytes are split.
func TestHeadLinesAreCounted(t *testing.T) {
	is := is.New(t)
	const text = "POST / HTTP/1.1\r\na:\nb: c\r\n\r\nbody\r\n\r\n"
	end := strings.Index(text, "body")
	for split := 1; split < end; split++ {
		var h head
		first := h.scan([]byte(text[:split]))
		is.Equal(first, split)
		is.Equal(split+h.scan([]byte(text[split:])), end)
		is.Equal(h.bytes, int64(end))
		is.Equal(h.lines, int64(4))
	}
}

// startServer starts a server behind a listener with the settings. It answers with the method and the size
// of the body, and reserves each body.
func startServer(t *testing.T, s Settings) string {
	t.Helper()
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || !HoldingOf(r.Context(), s.Account).Reserve(int64(len(body))) || !Complete(r.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, r.Method, " ", len(body)) // the client may have gone
	}))}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(NewListener(raw, s)) // until it is closed
	}()
	t.Cleanup(func() {
		_ = server.Close() // the test ends
		<-done
	})
	return raw.Addr().String()
}

// Fails if requests that follow each other on a connection, also several at once, are mixed up, or if they
// leave memory reserved.
func TestRequestsOnOneConnectionAreServedInOrder(t *testing.T) {
	is := is.New(t)
	a := NewAccount(10 << 20)
	addr := startServer(t, Settings{Account: a})
	c, err := net.Dial("tcp4", addr)
	is.NoErr(err)
	defer func() { _ = c.Close() }() // the test ends
	var all strings.Builder
	var want []string
	for i := range 20 {
		lines := strings.Repeat("a:\r\n", 300*(i%3))
		fmt.Fprintf(&all, "GET / HTTP/1.1\r\nHost: h\r\n%s\r\n", lines)
		fmt.Fprintf(&all, "POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", lines, 1000*i, strings.Repeat("\r\n", 500*i))
		want = append(want, "GET 0", fmt.Sprint("POST ", 1000*i))
	}
	all.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	want = append(want, "POST 3")
	go func() { _, _ = io.WriteString(c, all.String()) }()
	in := bufio.NewReader(c)
	for i, text := range want {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), text)
		is.Equal(resp.Close, i == len(want)-1) // what follows a body without a length is not read
	}
	_, err = in.ReadByte()
	is.Equal(err, io.EOF)
	for end := time.Now().Add(10 * time.Second); a.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	is.Equal(a.Used(), int64(0))
}

// count returns the number of open connections in a phase.
func (l *Listener) count(p phase) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		c.mu.Lock()
		if c.phase == p {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// Fails if a connection that makes progress, or carries a complete request, is closed for a new one while
// another one is silent.
func TestSilentClientIsClosedForANewConnection(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	reading, served, resume := make(chan struct{}), make(chan struct{}), make(chan struct{})
	server := &http.Server{ConnContext: ConnContext, Handler: Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			served <- struct{}{}
			<-resume
			return
		}
		_, _ = io.ReadFull(r.Body, make([]byte, progressBytes)) // the rest is sent later
		reading <- struct{}{}
		_, _ = io.Copy(w, r.Body) // as above
	}))}
	l := NewListener(raw, Settings{MaxConnections: 3, Account: NewAccount(0)})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(l) // until it is closed
	}()
	defer func() {
		_ = server.Close() // the test ends
		<-done
	}()
	dial := func(text string) (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp4", raw.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() }) // the server may have closed it
		_, err = io.WriteString(c, text)
		is.NoErr(err)
		return c, bufio.NewReader(c)
	}
	const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	_, complete := dial(get)
	<-served
	upload, uploaded := dial(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", progressBytes+4))
	await := func(p phase) {
		for l.count(p) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	await(phaseBody)
	_, silent := dial("G")
	await(phaseHead)
	_, err = io.WriteString(upload, strings.Repeat("x", progressBytes))
	is.NoErr(err)
	<-reading
	_, late := dial(get)
	<-served
	_, err = silent.ReadByte()
	is.True(err != nil) // closed
	_, err = io.WriteString(upload, "rest")
	is.NoErr(err)
	close(resume)
	for _, in := range []*bufio.Reader{complete, uploaded, late} {
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
}

// Fails if a refused head gets another answer than one that promises that it has not run, or leaves memory
// reserved.
func TestRefusedHeadsAreAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int64
		lines  int
		status int
		retry  string
	}{
		"no memory": {20_000, 1000, http.StatusServiceUnavailable, "0.6"},
		"too long":  {10 << 20, 20_000, http.StatusRequestHeaderFieldsTooLarge, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := NewAccount(c.limit)
			addr := startServer(t, Settings{Account: a, HeadBytes: func() int { return 16_384 }})
			conn, err := net.Dial("tcp4", addr)
			is.NoErr(err)
			defer func() { _ = conn.Close() }() // the test ends
			go func() { _, _ = io.WriteString(conn, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\r\n", c.lines)) }()
			in := bufio.NewReader(conn)
			resp, err := http.ReadResponse(in, nil)
			is.NoErr(err)
			body, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, c.status)
			rest, _ := io.ReadAll(in) // the connection may be reset
			is.Equal(len(rest), 0)    // one answer
			is.Equal(resp.Header.Get("Retry-After"), c.retry)
			is.True(strings.Contains(string(body), `"outcome":"not_run"`))
			_ = conn.Close() // as above
			for end := time.Now().Add(10 * time.Second); a.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			is.Equal(a.Used(), int64(0))
		})
	}
}

// Fails if the end of a request line, or messages within the bounds, end a connection of peers, or if a
// message over the bounds does not.
func TestMessagesOverTheBoundEndTheConnection(t *testing.T) {
	const account = 100_000
	for name, c := range map[string]struct {
		sent  []byte
		whole bool
	}{
		"small":       {[]byte{2, 'a', 'b', 1, 'c'}, true},
		"large":       {append([]byte{0xfd, 0x01, 0x00, 0x00}, make([]byte, 1<<16)...), true},
		"no memory":   {append([]byte{0xfd, 0x02, 0x00, 0x00}, make([]byte, 1<<17)...), false},
		"too long":    {[]byte{0xfc, 0x3f, 0xff, 0xff, 0xff, 0}, false},
		"nine digits": {[]byte{0xf7, 0, 0, 0, 0, 0, 0, 0, 0, 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			raw, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			a := NewAccount(account)
			l := NewGobListener(raw, "peer", a, nil)
			defer func() { _ = l.Close() }() // the test ends
			go func() {
				conn, err := net.Dial("tcp4", raw.Addr().String())
				if err == nil {
					_, _ = conn.Write(c.sent)
					_ = conn.Close() // the test may have ended it
				}
			}()
			conn, err := l.Accept()
			is.NoErr(err)
			got, err := io.ReadAll(conn)
			is.Equal(err == nil, c.whole)
			if c.whole {
				is.Equal(got, c.sent)
			}
			_ = conn.Close() // as above
			is.Equal(a.Used(), int64(0))
		})
	}
}
