package capacity

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// rawEngine answers chat requests over bare TCP with as little processor time
// as can be, so that what is measured is the router's. It sends the next piece
// of an answer when the caller of that attempt has had the one before: then
// each piece is read and written by itself, as it is with a gap between tokens.
type rawEngine struct {
	listener net.Listener
	pieces   int
	turns    turns
	duties   conc.WaitGroup
}

func newRawEngine(pieces int, t turns) (*rawEngine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	e := &rawEngine{listener: listener, pieces: pieces, turns: t}
	e.duties.Go(e.accept)
	return e, nil
}

func (e *rawEngine) addr() string { return e.listener.Addr().String() }

// close ends the engine; its callers must have closed their connections.
func (e *rawEngine) close() {
	_ = e.listener.Close()
	e.duties.Wait()
}

func (e *rawEngine) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.duties.Go(func() { e.serve(conn) })
	}
}

func (e *rawEngine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if req.Method == http.MethodGet {
			err = report(conn)
		} else {
			err = e.answer(conn, req.Header.Get("X-Attempt-Id"), e.turns.of(body))
		}
		if err != nil {
			return
		}
	}
}

const (
	answerHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	pieceFormat = "data: {\"attempt\":%q,\"seq\":%d,\"text\":\" token\"}\n\n"
	lastFormat  = "data: {\"attempt\":%q,\"seq\":%d,\"done\":true,\"finish_reason\":\"stop\",\"usage\":{\"input_tokens\":900,\"output_tokens\":%d}}\n\n"
)

// report answers a question for the load.
func report(conn net.Conn) error {
	load := loadReport()
	load.Versions = nil
	for i := range docVersions {
		load.Versions = append(load.Versions, versionName(i))
	}
	data, err := json.Marshal(load)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(data), data)
	return err
}

func (e *rawEngine) answer(conn net.Conn, attempt string, turn <-chan struct{}) error {
	if _, err := io.WriteString(conn, answerHead); err != nil {
		return err
	}
	for seq := 1; seq <= e.pieces; seq++ {
		event := fmt.Sprintf(pieceFormat, attempt, seq)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		<-turn
	}
	event := fmt.Sprintf(lastFormat, attempt, e.pieces+1, e.pieces)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	return err
}
