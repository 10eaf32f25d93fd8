package relay

import (
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"
)

// A request for a connection begins with two bytes that begin no net/rpc stream: gob never
// sends a message of length 0. A length of two bytes and a JSON object follow. The answer is a
// length and a JSON object. Then bytes flow: unchanged to the upstream, in frames back.
const (
	prefaceMark    = 0
	prefaceVersion = 1
	// maxMessageBytes bounds a request and an answer.
	maxMessageBytes = 1 << 10
)

// connectRequest asks a peer for a connection to an upstream.
type connectRequest struct {
	From Identity `json:"from"`
	// To is the upstream's host and port.
	To string `json:"to"`
	// TimeoutMs bounds the opening of the connection, in milliseconds.
	TimeoutMs int64 `json:"timeout_ms"`
}

// connectAnswer answers a connectRequest.
type connectAnswer struct {
	Outcome Outcome `json:"outcome"`
}

// encodeMessage returns a message with its length.
func encodeMessage(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types of this package always encode
	}
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(data))), data...)
}

// readMessage reads a message into out.
func readMessage(r io.Reader, out any) error {
	var head [2]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint16(head[:])
	if size > maxMessageBytes {
		return eris.Errorf("relay message: length is %d, at most %d is allowed", size, maxMessageBytes)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	return eris.Wrap(json.Unmarshal(data, out), "relay message")
}
