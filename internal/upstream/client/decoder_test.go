package client

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// If the connection breaks within the last event after its data line, the truncated
// answer must not be passed as complete.
func TestTruncatedEventIsNotAChunk(t *testing.T) {
	is := is.New(t)
	complete := "id: 1\ndata: {\"attempt\":\"a\",\"seq\":1,\"done\":true}\n\n"
	c, err := newDecoder(strings.NewReader(complete)).next()
	is.NoErr(err)
	is.True(c.Done)
	for n := range len(complete) - 1 {
		_, err := newDecoder(strings.NewReader(complete[:n])).next()
		is.True(errors.Is(err, io.ErrUnexpectedEOF))
	}
}

// Fields, comments and line ends of events must be decoded correctly.
func TestDecoderReadsEvents(t *testing.T) {
	cases := []struct{ name, in, want string }{
		{"piece", "data: {\"seq\":2,\"text\":\"hi\"}\n\n", "2 hi"},
		{"carriage returns", "id: 2\r\ndata: {\"seq\":2,\"text\":\"hi\"}\r\n\r\n", "2 hi"},
		{"comment first", ": ping\n\ndata:{\"seq\":2,\"text\":\"hi\"}\n\n", "2 hi"},
		{"error event", "event: error\ndata: version failed\n\n", `error engine reported "version failed"`},
		{"error name does not stick", "event: error\n\ndata: {\"seq\":3}\n\n", "3 "},
		{"no JSON", "data: {\n\n", "error piece: unexpected end of JSON input"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := newDecoder(strings.NewReader(c.in)).next()
			text := fmt.Sprint(got.Seq, " ", got.Text)
			if err != nil {
				text = "error " + err.Error()
			}
			is.Equal(text, c.want)
		})
	}
}

// FuzzDecoder decodes arbitrary bytes. The decoder must terminate, and each chunk it
// returns must be the same after encoding and decoding it again.
func FuzzDecoder(f *testing.F) {
	f.Add([]byte("id: 1\ndata: {\"attempt\":\"a\",\"seq\":1,\"text\":\"x\"}\n\n"))
	f.Add([]byte("event: error\ndata: bad\n\n"))
	f.Add([]byte("data: {\"seq\":1}\ndata: \n\r\n"))
	f.Add([]byte(": ping\n\ndata: [1]\n\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		is := is.New(t)
		d := newDecoder(bytes.NewReader(in))
		for range len(in) + 1 {
			c, err := d.next()
			var reported *StreamError
			if errors.As(err, &reported) {
				continue
			}
			if err != nil {
				return
			}
			is.Equal(roundTripChunk(t, c), c)
		}
		t.Fatal("more events than bytes")
	})
}

func roundTripChunk(t *testing.T, c upstream.Chunk) upstream.Chunk {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	got, err := newDecoder(strings.NewReader(fmt.Sprintf("data: %s\n\n", data))).next()
	if err != nil {
		t.Fatal(err)
	}
	return got
}

func BenchmarkDecoder(b *testing.B) {
	piece, err := json.Marshal(upstream.Chunk{Attempt: "4fzzzxjylrx", Seq: 100, Text: "token "})
	if err != nil {
		b.Fatal(err)
	}
	in := bytes.Repeat(fmt.Appendf(nil, "id: 100\ndata: %s\n\n", piece), 1000)
	b.ReportAllocs()
	r := bytes.NewReader(in)
	d := newDecoder(r)
	for b.Loop() {
		if _, err := d.next(); err != nil {
			r.Reset(in)
			d = newDecoder(r)
		}
	}
}
