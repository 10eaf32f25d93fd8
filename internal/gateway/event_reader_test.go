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

// readAll reads a stream to its end, in whatever pieces it comes.
func readAll(r io.Reader) (text, id string, count int, err error) {
	s := &eventReader{from: r}
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

func TestStreamsAreCutIntoWholeEvents(t *testing.T) {
	tests := []struct {
		name, in, text, id string
		count              int
		err                error
	}{
		{"none", "", "", "", 0, io.EOF},
		{"two", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "2", 2, io.EOF},
		{"cut in a line", "id: 1\n\nid: 2\nda", "id: 1\n\n", "1", 1, errPartEvent},
		{"cut before the empty line", "id: 1\n\nid: 2\ndata: b\n", "id: 1\n\n", "1", 1, errPartEvent},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", "id: 1\r\ndata: a\r\n\r\n", "1", 1, io.EOF},
		{"no id", "data: a\n\n", "data: a\n\n", "", 1, io.EOF},
		{"comment", ": hello\n\n\n", ": hello\n\n\n", "", 1, io.EOF},
		{"first line of its own", "weight-versions: 3\nid: 7\n\n", "weight-versions: 3\nid: 7\n\n", "7", 1, io.EOF},
	}
	for _, test := range tests {
		for way, r := range map[string]io.Reader{"at once": strings.NewReader(test.in), "byte by byte": iotest.OneByteReader(strings.NewReader(test.in))} {
			text, id, count, err := readAll(r)
			if text != test.text || id != test.id || count != test.count || !errors.Is(err, test.err) {
				t.Errorf("%s, %s: %q %q %d %v", test.name, way, text, id, count, err)
			}
		}
	}
}

func TestEndlessEventIsRefused(t *testing.T) {
	is := is.New(t)
	_, _, _, err := readAll(io.LimitReader(endless{}, 4*mostEvent))
	is.Equal(err, errLongEvent)
}

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Whatever arrives, the whole events and the rest are what was sent, in order,
// and the rest holds no complete event.
func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n"), 3)
	f.Add([]byte("\n\n\r\n\n"), 1)
	f.Fuzz(func(t *testing.T, in []byte, size int) {
		s := &eventReader{from: &pieces{in, max(size%16, 1)}}
		var out []byte
		for {
			events, _, _, err := s.next()
			out = append(out, events...)
			if err != nil {
				break
			}
		}
		if !bytes.Equal(append(out, s.rest...), in) {
			t.Fatalf("%q and %q of %q", out, s.rest, in)
		}
		if end, _ := wholeEvents(s.rest); end > 0 && len(in) < mostEvent {
			t.Fatalf("%q was left", s.rest)
		}
	})
}

type pieces struct {
	left []byte
	size int
}

func (p *pieces) Read(b []byte) (int, error) {
	if len(p.left) == 0 {
		return 0, io.EOF
	}
	n := copy(b, p.left[:min(p.size, len(p.left))])
	p.left = p.left[n:]
	return n, nil
}
