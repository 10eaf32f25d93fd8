package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Fails if a stream looks complete to a caller whose protocol has no chunks although it was broken
// off, or broken off although it is complete.
func TestStopResetsUnframedAnswers(t *testing.T) {
	for _, complete := range []bool{true, false} {
		is := is.New(t)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		s := newCallerServer(l, nil)
		var serving conc.WaitGroup
		defer serving.Wait()
		defer func() { _ = s.http.Close() }() // the test ends
		serving.Go(func() {
			s.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "data: x\n\n") // the caller may have left
				if !complete {
					_ = http.NewResponseController(w).Flush() // as above
					<-r.Context().Done()
				}
			}))
		})
		conn, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer func() { _ = conn.Close() }() // the test ends
		is.NoErr(conn.SetDeadline(time.Now().Add(time.Minute)))
		_, err = io.WriteString(conn, "GET / HTTP/1.0\r\nHost: router\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()       // the grace is over
		if !complete { // otherwise the answer's end closes the connection
			s.close(ctx)
		}
		_, err = io.ReadAll(resp.Body)
		is.Equal(err == nil, complete)
	}
}
