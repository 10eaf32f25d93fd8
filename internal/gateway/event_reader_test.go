package gateway

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// readAll reads a stream to its end, whatever the sizes of its reads.
func readAll(r io.Reader) (text, id string, count int, err error) {
	s := newEventReader(r, "")
	for {
		events, last, n, e := s.next()
		text += string(events)
		count += n
		if last != "" {
			id = last
		}
		if e != nil {
			return text, id, count, e
		}
	}
}

func TestStreamIsCutIntoCompleteEvents(t *testing.T) {
	tests := []struct {
		name, in, text, id string
		count              int
		err                error
	}{
		{"none", "", "", "", 0, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 2, io.EOF},
		{"cut in a line", "id: 1\n\nid: 2\nda", "id: 1\n\n", "1", 1, errTruncatedEvent},
		{"cut before the empty line", "id: 1\n\nid: 2\ndata: b\n", "id: 1\n\n", "1", 1, errTruncatedEvent},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "1", 1, io.EOF},
		{"no id", "data: a\n\n", "data: a\n\n", "", 1, io.EOF},
		{"comment", ": hello\n\n\n", ": hello\n\n\n", "", 1, io.EOF},
		{"first line of its own", "weight-versions: 3\nid: 7\n\n", "weight-versions: 3\nid: 7\n\n", "7", 1, io.EOF},
	}
	for _, test := range tests {
		for way, r := range map[string]io.Reader{"at once": strings.NewReader(test.in), "byte by byte": iotest.OneByteReader(strings.NewReader(test.in))} {
			text, id, count, err := readAll(r)
			if text != test.text || id != test.id || count != test.count || !errors.Is(err, test.err) {
				t.Errorf("%s, %s: got text %q, id %q, count %d, err %v", test.name, way, text, id, count, err)
			}
		}
	}
}

func TestEndlessEventIsRejected(t *testing.T) {
	is := is.New(t)
	_, _, _, err := readAll(io.LimitReader(endlessReader{}, 4*maxEventBytes))
	is.Equal(err, errEventTooLong)
}

type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// For any input and read size, the events and the pending bytes together must equal the
// input, the numbers of the events must grow, and the pending bytes must hold no complete
// event but one that is out of order.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), 3)
	f.Add([]byte("\n\n\r\n\n"), 1)
	f.Add([]byte("id:1\n\nid:6\nid:5\n\n"), 15)
	f.Add([]byte("id: 2\n\ndata: a\n\nid: 1\n\nid: 3\n\n"), 7)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		s := newEventReader(&chunkReader{in, max(size%16, 1)}, "")
		var out []byte
		var err error
		for err == nil {
			var events []byte
			var id string
			events, id, _, err = s.next()
			out = append(out, events...)
			if id != "" && !bytes.Contains(events, []byte(id)) {
				t.Fatalf("ID %q is not in the events %q", id, events)
			}
		}
		read := in
		if errors.Is(err, errEventOutOfOrder) {
			read = in[:min(len(out)+len(s.pending), len(in))] // the rest is not read
		}
		if !bytes.Equal(append(bytes.Clone(out), s.pending...), read) {
			t.Fatalf("events %q and pending %q do not make up the input %q", out, s.pending, in)
		}
		if kept, _ := newEventReader(nil, "").inOrder(out); kept < len(out) {
			t.Fatalf("events %q are out of order after %d bytes", out, kept)
		}
		end, _ := completeEvents(s.pending)
		if errors.Is(err, errEventOutOfOrder) {
			all, last := in[:len(out)+end], newEventReader(nil, "")
			if kept, _ := last.inOrder(all); kept != len(out) {
				t.Fatalf("events %q were cut after %d bytes, not at the first one out of order", all, len(out))
			}
			return
		}
		if end > 0 && len(in) < maxEventBytes {
			t.Fatalf("pending bytes %q hold a complete event", s.pending)
		}
	})
}

type chunkReader struct {
	rest []byte
	size int
}

func (p *chunkReader) Read(b []byte) (int, error) {
	if len(p.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.rest[:min(p.size, len(p.rest))])
	p.rest = p.rest[n:]
	return n, nil
}
