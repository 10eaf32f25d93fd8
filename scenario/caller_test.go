package scenario

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	bearerPrefix = "Bearer demo-" // API keys of the example configurations
	streamEnd    = "[DONE]"
	callTimeout  = 2 * time.Minute
)

// caller sends calls as an application does, each at most once: net/http must not retry a
// call on a new connection.
type caller struct {
	http *http.Client
	log  *callLog
}

func newCaller(log *callLog) *caller {
	return &caller{log: log, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
}

// do sends one call, logs it and returns its result.
func (c *caller) do(o call) result {
	began := time.Now()
	r := c.send(o)
	c.log.add(began, r)
	return r
}

func (c *caller) send(o call) result {
	r := result{call: o, outcome: cutOff}
	if o.resumes() {
		r = *o.resumeFrom
		r.call, r.message = o, ""
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	req, err := newRequest(ctx, o)
	if err != nil {
		r.answerErr = err
		return r
	}
	resp, err := c.http.Do(req)
	if err != nil {
		var dial *net.OpError
		r.unreached = errors.As(err, &dial) && dial.Op == "dial"
		r.message = err.Error()
		return r
	}
	defer resp.Body.Close()
	r.readHead(resp)
	switch {
	case o.chat() && o.stream && resp.StatusCode == http.StatusOK:
		r.readStream(resp.Body)
	case o.chat():
		r.readWhole(resp.Body)
	default:
		r.readService(resp)
	}
	return r
}

func (r *result) readHead(resp *http.Response) {
	r.status = resp.StatusCode
	r.retry = resp.Header.Get("Retry-After")
	r.version = cmp.Or(resp.Header.Get("Hickorybank-Version"), r.version)
	r.session = cmp.Or(resp.Header.Get("Hickorybank-Session"), r.session)
	r.stream = cmp.Or(resp.Header.Get("Hickorybank-Stream"), r.stream)
}

func newRequest(ctx context.Context, o call) (*http.Request, error) {
	method, url := http.MethodPost, "http://"+o.addr+"/v1/chat/completions"
	body := []byte(o.body)
	if o.resumes() {
		method, url = http.MethodGet, "http://"+o.addr+"/v1/streams/"+o.resumeFrom.stream+"?after="+strconv.Itoa(o.resumeFrom.last)
		body = nil
	} else if o.chat() {
		var err error
		body, err = json.Marshal(chatRequest{Model: o.model, Stream: o.stream, Messages: []chatMessage{{Role: "user", Content: o.text}}})
		if err != nil {
			return nil, err
		}
	} else {
		method, url = o.method, "http://"+o.addr+"/v1/services/"+o.service+o.path
	}
	// A body that net/http cannot rewind prevents retries. With a rewindable body net/http
	// retries any request that has an idempotency key.
	req, err := http.NewRequestWithContext(ctx, method, url, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", bearerPrefix+o.org)
	setIf(req, "Idempotency-Key", o.key)
	setIf(req, "Hickorybank-Class", o.class)
	setIf(req, "Hickorybank-Session", o.session)
	setIf(req, "Hickorybank-Timeout-Ms", o.timeoutMS)
	if o.start {
		req.Header.Set("Hickorybank-Session-Start", "1")
	}
	return req, nil
}

func setIf(req *http.Request, header, value string) {
	if value != "" {
		req.Header.Set(header, value)
	}
}

func (r *result) readWhole(body io.Reader) {
	var a chatAnswer
	data, err := io.ReadAll(body)
	if err != nil {
		r.message = err.Error()
		return
	}
	if err := json.Unmarshal(data, &a); err != nil {
		r.answerErr = eris.Wrapf(err, "parse answer %q", data)
		return
	}
	if a.Error != nil {
		r.fail(a.Error)
		return
	}
	if len(a.Choices) != 1 || a.Usage == nil {
		r.answerErr = eris.Errorf("answer has %d choices, want 1 and a usage: %q", len(a.Choices), data)
		return
	}
	r.text = a.Choices[0].Message.Content
	r.complete(a.Usage.CompletionTokens)
}

func (r *result) readStream(body io.Reader) {
	scanner := bufio.NewScanner(body)
	var tokens int
	var number int
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			number, _ = strconv.Atoi(id) // an invalid number shows up as a missing piece
		}
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == streamEnd {
			r.complete(tokens)
			return
		}
		var a chatAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			r.answerErr = eris.Wrapf(err, "parse event %q", data)
			return
		}
		if a.Error != nil {
			r.fail(a.Error)
			return
		}
		r.piece(a, number)
		if a.Usage != nil {
			tokens = a.Usage.CompletionTokens
		}
	}
	r.message = "stream ended without its end marker"
}

func (r *result) piece(a chatAnswer, number int) {
	if len(a.Choices) > 0 {
		r.text += a.Choices[0].Delta.Content
	}
	r.last = number
	if r.call.progress != nil {
		r.call.progress.Store(int64(number))
	}
}

func (r *result) readService(resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		r.message = err.Error()
		return
	}
	r.text = string(data)
	if resp.StatusCode < http.StatusMultipleChoices {
		r.outcome = completed
		return
	}
	var a chatAnswer
	if json.Unmarshal(data, &a) == nil && a.Error != nil {
		r.fail(a.Error)
		return
	}
	r.outcome = completed // an error status of the service itself is a complete answer
}

func (r *result) fail(e *chatError) {
	r.outcome = e.Outcome
	r.code = e.Code
	r.message = e.Message
}

func (r *result) complete(tokens int) {
	r.outcome = completed
	r.answerErr = checkAnswer(r.call.text, r.text, r.version)
	if r.answerErr == nil {
		r.answerErr = checkCount(r.text, tokens)
	}
}
