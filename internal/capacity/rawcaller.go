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

// rawCaller sends requests one after the other over a plain TCP connection.
type rawCaller struct {
	conn    net.Conn
	in      *bufio.Reader
	request []byte
	// pieces is the number of pieces in an answer. ack tells the engine of each received piece.
	pieces int
	ack    chan<- struct{}
	// onFirstPiece, if set, is called after the first piece of an answer.
	onFirstPiece func()
}

var streamEndMarker = []byte("data: [DONE]")

func newRawCaller(addr, model string, number, pieces int, turn chan<- struct{}) (*rawCaller, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "dial")
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"messages":[{"role":"system","content":%q},{"role":"user","content":"Draft the %s%d."}]}`,
		model, bytes.Repeat([]byte("dossier "), promptWords), callerPrefix, number)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
		keyName(0), len(body), body)
	return &rawCaller{conn: conn, in: bufio.NewReader(conn), request: []byte(request), pieces: pieces, ack: turn}, nil
}

// promptWords is the number of words in a prompt of about 4 kB.
const promptWords = 500

// run sends a request, reads its whole answer and acknowledges each piece.
func (c *rawCaller) run() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return eris.Wrap(err, "send request")
	}
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return eris.Wrap(err, "read answer head")
	}
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body) // for the error message only
		return eris.Errorf("answer has status %d, want 200: %s", res.StatusCode, text)
	}
	return c.read(res.Body)
}

// read reads the events of an answer. The first ones are its pieces; the engine waits for their
// acknowledgement.
func (c *rawCaller) read(body io.Reader) error {
	in := bufio.NewReader(body)
	done := false
	for events := 0; ; {
		line, err := in.ReadSlice('\n')
		if err == io.EOF && done {
			return nil
		}
		if err != nil {
			return eris.Wrap(err, "answer ended early")
		}
		done = done || bytes.HasPrefix(line, streamEndMarker)
		if len(line) > 1 {
			continue
		}
		events++
		if events == 1 && c.onFirstPiece != nil {
			c.onFirstPiece()
		}
		if events <= c.pieces {
			c.ack <- struct{}{}
		}
	}
}

func (c *rawCaller) close() { _ = c.conn.Close() }
