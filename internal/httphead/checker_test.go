package httphead

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const body = "Content-Length: 2\r\n\r\nok"

// Fails if bytes that are no response by the grammar count as one, or the other way round.
func TestStatusAndFieldNamesFollowTheGrammar(t *testing.T) {
	const chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	for _, c := range []struct {
		text  string
		valid bool
	}{
		{"HTTP/1.1 200 OK\r\n" + body, true},
		{"HTTP/1.0 200 OK\r\n" + body, true},
		{"HTTP/1.1 200\r\n" + body, true},
		{"HTTP/1.1 200 \r\n" + body, true},
		{"HTTP/1.1 200 OK\n" + strings.ReplaceAll(body, "\r", ""), true},
		{"HTTP/1.1 599 \xe9t\xe9\r\n" + body, true},
		{"HTTP/1.1 204 No Content\r\n\r\n", true},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\n" + body, true},
		{"HTTP/1.1 200 OK\r\nX: a\r\n  b\r\n" + body, true},
		{"HTTP/1.1 200 OK\r\nX:\r\nY: \t\xe9 \r\n" + body, true},
		{"HTTP/1.1 200 OK\r\n" + chunks + "\r\n", true},
		{"HTTP/1.1 200 OK\r\n" + chunks + "X: y\r\n\r\nHTTP", true},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n Chunked \r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n", true},
		{"HTTP/1.1 000 OK\r\n" + body, false},
		{"HTTP/1.1 099 OK\r\n" + body, false},
		{"HTTP/1.1 600 OK\r\n" + body, false},
		{"HTTP/1.1 999 OK\r\n" + body, false},
		{"HTTP/1.1 +20 OK\r\n" + body, false},
		{"HTTP/1.1 2000 OK\r\n" + body, false},
		{"HTTP/1.1 20\r\n" + body, false},
		{"HTTP/1.1  200 OK\r\n" + body, false},
		{"HTTP/9.9 200 OK\r\n" + body, false},
		{"HTTP/2.0 200 OK\r\n" + body, false},
		{"http/1.1 200 OK\r\n" + body, false},
		{"\r\nHTTP/1.1 200 OK\r\n" + body, false},
		{"HTTP/1.1 200 O\x00K\r\n" + body, false},
		{"HTTP/1.1 200 OK\rX: a\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\n X: a\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", false},
		{"HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX\xe9: 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX(y): 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\n: 1\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nnothing\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX: a\x00b\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nX: a\rb\r\n" + body, false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n" + chunks + "\r\n", false},
		{"HTTP/1.0 200 OK\r\n" + chunks + "\r\n", false},
		{"HTTP/1.1 200 OK\r\n" + chunks + "X y: z\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\n" + chunks + "X\x01: z\r\n\r\n", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokay\r\n", false},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1000000000000000\r\n", false},
		{"HTTP/1.1 100 Continue\r\nX y: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + body, false},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + body, false},
	} {
		is := is.New(t)
		var checker Checker
		checker.Begin(false)
		err := checker.Feed([]byte(c.text))
		if c.valid != (err == nil) {
			t.Errorf("%q: %v", c.text, err)
		}
		if err == nil {
			is.Equal(checker.state, passing) // text
		}
	}
}

// grammar matches the heads of a response: interim ones, and the one of the answer.
var grammar = func() *regexp.Regexp {
	const text = `[\t\x20-\x7e\x80-\xff]*`
	const field = "[!#$%&'*+\\-.^_`|~0-9A-Za-z]+:" + text + `\r?\n(?:[\t\x20]` + text + `\r?\n)*`
	head := func(status string) string {
		return `HTTP/1\.[0-9] ` + status + `(?: ` + text + `)?\r?\n(?:` + field + `)*\r?\n`
	}
	return regexp.MustCompile(`^(?:` + head("1[0-9][0-9]") + `)*` + head("[2-5][0-9][0-9]") + `$`)
}()

// latin1 maps bytes to runes, as the grammar matches bytes.
func latin1(b []byte) string {
	runes := make([]rune, len(b))
	for i, c := range b {
		runes[i] = rune(c)
	}
	return string(runes)
}

// FuzzFieldNamesFollowTheGrammar fails if a head passes that the grammar does not allow, if one is
// rejected that it allows, or if the verdict depends on how the bytes are split.
func FuzzFieldNamesFollowTheGrammar(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\n"+body), uint8(3))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200\nX Y: a\r\n b\r\n\r\n"), uint8(1))
	f.Add([]byte("HTTP/1.1 304 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a\r\nok\r\n0\r\nX: y\r\n\r\n"), uint8(7))
	f.Fuzz(func(t *testing.T, data []byte, split uint8) {
		var single, pieces, whole Checker
		single.Begin(false)
		pieces.Begin(false)
		whole.Begin(false)
		var singleErr, piecesErr error
		for i := range data {
			inHead := single.state != passing && single.state < chunkLength && !single.inTrailer
			singleErr = single.Feed(data[i : i+1])
			ended := single.state == passing || single.state >= chunkLength
			if inHead && singleErr == nil && ended && !grammar.MatchString(latin1(data[:i+1])) {
				t.Fatalf("%q passes", data[:i+1])
			}
			if inHead && singleErr != nil && grammar.MatchString(latin1(data[:i+1])) && !strings.Contains(singleErr.Error(), "Transfer-Encoding") {
				t.Fatalf("%q is rejected: %v", data[:i+1], singleErr)
			}
			if singleErr != nil {
				break
			}
		}
		size := int(split)%16 + 1
		for rest := data; len(rest) > 0 && piecesErr == nil; rest = rest[min(size, len(rest)):] {
			piecesErr = pieces.Feed(rest[:min(size, len(rest))])
		}
		wholeErr := whole.Feed(data)
		if fmt.Sprint(singleErr) != fmt.Sprint(piecesErr) || fmt.Sprint(singleErr) != fmt.Sprint(wholeErr) {
			t.Fatalf("%q: byte by byte %v, in pieces of %d %v, whole %v", data, singleErr, size, piecesErr, wholeErr)
		}
	})
}
