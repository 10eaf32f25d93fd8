package httphead

import (
	"fmt"
	"strings"
)

// Checker follows one response at a time. The zero value checks nothing until Begin is called.
type Checker struct {
	state state
	// bodyless is set if the response has no body regardless of its head.
	bodyless bool
	// line is the number of the current line of the head, from 1; 0 for the status line.
	line int
	// word holds the status line up to its code, or the name of a field, as far as it fits. wordLen is its
	// whole length.
	word    [maxWord]byte
	wordLen int
	// value holds the value of a field with the coding, as far as it fits.
	value    [maxWord]byte
	valueLen int
	// status is the response's; old is set for HTTP/1.0.
	status int
	old    bool
	// hasLength and hasCoding are set once the head has these fields; chunked if the coding is only chunks.
	hasLength, hasCoding, chunked bool
	// chunkLeft counts the bytes that are left of a chunk, chunkDigits the digits of its length.
	chunkLeft   uint64
	chunkDigits int
	inTrailer   bool
}

// maxWord is the length of the longest word that is looked at; field names may be longer.
const maxWord = 24

// maxChunkDigits bounds the length of a chunk.
const maxChunkDigits = 15

type state int

const (
	// passing checks nothing: the body ends by its length or with the connection.
	passing state = iota
	statusStart
	reason
	lineStart
	fieldName
	fieldValue
	lineFeed
	chunkLength
	chunkExtension
	chunkData
	chunkEnd
)

// Error says where a response breaks the grammar.
type Error struct {
	// Line is the number of the line of the head, from 1 for the status line; 0 outside of it.
	Line int
	// Text says what is wrong.
	Text string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Line == 0 {
		return "malformed response: " + e.Text
	}
	return fmt.Sprintf("malformed response: line %d: %s", e.Line, e.Text)
}

// Begin starts a response. bodyless is set for responses to HEAD requests.
func (c *Checker) Begin(bodyless bool) { *c = Checker{state: statusStart, bodyless: bodyless} }

// Feed checks the next bytes of the response. It returns an [*Error] if they break the grammar; nothing
// may be fed then until the next Begin.
func (c *Checker) Feed(p []byte) error {
	for i := 0; i < len(p); i++ {
		switch c.state {
		case passing:
			return nil
		case chunkData:
			n := min(uint64(len(p)-i), c.chunkLeft)
			i += int(n) - 1
			if c.chunkLeft -= n; c.chunkLeft == 0 {
				c.state = chunkEnd
			}
		default:
			if text := c.step(p[i]); text != "" {
				return &Error{Line: c.errorLine(), Text: text}
			}
		}
	}
	return nil
}

func (c *Checker) errorLine() int {
	if c.inTrailer || c.state >= chunkLength {
		return 0
	}
	return c.line + 1
}

// step takes one byte. It returns what is wrong with it, or an empty text.
func (c *Checker) step(b byte) string {
	switch c.state {
	case statusStart:
		return c.stepStatus(b)
	case reason:
		return c.stepText(b, "the reason")
	case lineStart:
		return c.stepLineStart(b)
	case fieldName:
		return c.stepName(b)
	case fieldValue:
		return c.stepText(b, "the value of "+c.name())
	case lineFeed:
		if b != '\n' {
			return "a carriage return ends no line"
		}
		return c.endLine()
	default:
		return c.stepChunk(b)
	}
}

// statusFormat is the form of the status line up to its code; d matches a digit.
const statusFormat = "HTTP/1.d ddd"

func (c *Checker) stepStatus(b byte) string {
	if c.wordLen < len(statusFormat) {
		want := statusFormat[c.wordLen]
		isDigit := b >= '0' && b <= '9'
		if want == 'd' && !isDigit || want != 'd' && b != want {
			return fmt.Sprintf("the status line has byte %#02x at position %d, its form is %q", b, c.wordLen, statusFormat)
		}
		c.word[c.wordLen] = b
		c.wordLen++
		return ""
	}
	digits := c.word[len(statusFormat)-3:]
	c.status = int(digits[0]-'0')*100 + int(digits[1]-'0')*10 + int(digits[2]-'0')
	c.old = c.word[len("HTTP/1.")] == '0'
	if c.status < minStatus || c.status > maxStatus {
		return fmt.Sprintf("the status is %03d, %d to %d are allowed", c.status, minStatus, maxStatus)
	}
	c.state = reason
	if b != ' ' && b != '\r' && b != '\n' {
		return "the status has more than three digits"
	}
	return c.stepText(b, "the reason")
}

const (
	minStatus = 100
	maxStatus = 599
)

// stepText takes a byte of a reason or of a field's value.
func (c *Checker) stepText(b byte, what string) string {
	switch {
	case b == '\n':
		return c.endLine()
	case b == '\r':
		c.state = lineFeed
	case b < ' ' && b != '\t' || b == 0x7f:
		return fmt.Sprintf("%s has control byte %#02x", what, b)
	case c.state == fieldValue && c.valueLen < maxWord && (c.valueLen > 0 || b != ' ' && b != '\t'):
		c.value[c.valueLen] = b
		c.valueLen++
	}
	return ""
}

func (c *Checker) stepLineStart(b byte) string {
	switch {
	case b == '\n':
		return c.endHead()
	case b == '\r':
		c.state = lineFeed
		c.wordLen = 0
		return ""
	case (b == ' ' || b == '\t') && c.line > 1:
		c.state = fieldValue // a folded line goes on with the value
		return ""
	}
	c.state, c.wordLen, c.valueLen = fieldName, 0, 0
	return c.stepName(b)
}

func (c *Checker) stepName(b byte) string {
	switch {
	case b == ':' && c.wordLen > 0:
		c.state = fieldValue
		return ""
	case !isTokenByte(b):
		return fmt.Sprintf("the name of a field has byte %#02x at position %d", b, c.wordLen)
	}
	if c.wordLen < maxWord {
		c.word[c.wordLen] = b
	}
	c.wordLen++
	return ""
}

// name returns the name of the current field, as far as it was kept.
func (c *Checker) name() string { return strings.ToLower(string(c.word[:min(c.wordLen, maxWord)])) }

// isTokenByte reports whether a byte may stand in the name of a field.
func isTokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// endLine ends a line of the head or of the trailer.
func (c *Checker) endLine() string {
	if c.line > 0 && c.wordLen == 0 {
		return c.endHead()
	}
	if c.line > 0 && !c.inTrailer {
		c.noteField()
	}
	c.line++
	c.state = lineStart
	return ""
}

// noteField keeps what the current field says of the framing.
func (c *Checker) noteField() {
	if c.wordLen > maxWord {
		return
	}
	switch c.name() {
	case "content-length":
		c.hasLength = true
	case "transfer-encoding":
		c.hasCoding = true
		c.chunked = strings.EqualFold(strings.TrimRight(string(c.value[:c.valueLen]), " \t"), "chunked")
	}
}

// endHead takes the empty line at the end of a head or of a trailer.
func (c *Checker) endHead() string {
	switch {
	case c.inTrailer:
		c.state = passing
	case c.status < 200:
		c.Begin(c.bodyless)
	case c.hasCoding && c.old:
		return "a response of HTTP/1.0 has the field Transfer-Encoding"
	case c.hasCoding && c.hasLength:
		return "the fields Content-Length and Transfer-Encoding exclude each other"
	case c.bodyless || c.status == 204 || c.status == 304 || !c.chunked:
		c.state = passing
	default:
		c.beginChunk()
	}
	return ""
}
