package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/rawhttp"
)

// rawEngine answers chat requests over plain TCP with minimal processor time, so that the
// measurement shows the router's. It sends the next piece of an answer after the caller has
// received the previous one. Each piece is then read and written separately, as with a gap
// between tokens.
type rawEngine struct {
	*rawhttp.Server
	pieces int
	acks   pieceAcks
}

func newRawEngine(pieces int, t pieceAcks) (*rawEngine, error) {
	e := &rawEngine{pieces: pieces, acks: t}
	server, err := rawhttp.Listen(e)
	if err != nil {
		return nil, err
	}
	e.Server = server
	return e, nil
}

// Head accepts every request; it implements the handler of rawhttp.
func (e *rawEngine) Head(net.Conn, *http.Request) bool { return true }

// Answer writes a load report for a GET request and streams an answer for any other.
func (e *rawEngine) Answer(conn net.Conn, req *http.Request, body []byte) error {
	if req.Method == http.MethodGet {
		return writeLoadReport(conn)
	}
	return e.answer(conn, req.Header.Get("X-Attempt-Id"), e.acks.forRequest(body))
}

const (
	answerHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	pieceFormat = "data: {\"attempt\":%q,\"seq\":%d,\"text\":\" token\"}\n\n"
	lastFormat  = "data: {\"attempt\":%q,\"seq\":%d,\"done\":true,\"finish_reason\":\"stop\",\"usage\":{\"input_tokens\":900,\"output_tokens\":%d}}\n\n"
)

// writeLoadReport answers a request for the load.
func writeLoadReport(conn net.Conn) error {
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

func (e *rawEngine) answer(conn net.Conn, attempt string, ack <-chan struct{}) error {
	if _, err := io.WriteString(conn, answerHead); err != nil {
		return err
	}
	for seq := 1; seq <= e.pieces; seq++ {
		event := fmt.Sprintf(pieceFormat, attempt, seq)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		<-ack
	}
	event := fmt.Sprintf(lastFormat, attempt, e.pieces+1, e.pieces)
	_, err := fmt.Fprintf(conn, "%x\r\n%s\r\n0\r\n\r\n", len(event), event)
	return err
}
