package capacity

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"
)

// rawCaller asks for one answer after another over bare TCP.
type rawCaller struct {
	conn net.Conn
	in   *bufio.Reader
	ask  []byte
	// pieces are those of an answer, and turn tells the engine of each.
	pieces int
	turn   chan<- struct{}
	// halt, when set, is called once after the first piece.
	halt func()
}

var doneMark = []byte("data: [DONE]")

func newRawCaller(addr, model string, number, pieces int, turn chan<- struct{}) (*rawCaller, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"system","content":%q},{"role":"user","content":"Draft the %s%d."}]}`,
		model, bytes.Repeat([]byte("dossier "), promptWords), callMark, number)
	ask := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		keyName(0), len(body), body)
	return &rawCaller{conn: conn, in: bufio.NewReader(conn), ask: []byte(ask), pieces: pieces, turn: turn}, nil
}

// promptWords are those of a prompt of about 4 kB.
const promptWords = 500

// run sends a request and reads its whole answer, and says of each piece that
// it came.
func (c *rawCaller) run() error {
	if _, err := c.conn.Write(c.ask); err != nil {
		return eris.Wrap(err, "ask")
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return eris.Wrap(err, "answer")
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body) // for the error message only
		return eris.Errorf("status %d: %s", res.StatusCode, text)
	}
	return c.read(res.Body)
}

// read takes the events of an answer one by one. The first of them are its
// pieces, for which the engine waits.
func (c *rawCaller) read(body io.Reader) error {
	in := bufio.NewReader(body)
	done := false
	for events := 0; ; {
		line, err := in.ReadSlice('\n')
		if err == io.EOF && done {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "answer broke off")
		}
		done = done || bytes.HasPrefix(line, doneMark)
		if len(line) > 1 {
			continue
		}
		events++
		if events == 1 && c.halt != nil {
			c.halt()
		}
		if events <= c.pieces {
			c.turn <- struct{}{}
		}
	}
}

func (c *rawCaller) close() { _ = c.conn.Close() }
