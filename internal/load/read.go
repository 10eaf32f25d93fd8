package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hickorybank/hickorybank/internal/request"
)

const (
	headerVersion  = "Hickorybank-Version"
	headerCost     = "Hickorybank-Cost-Micros"
	maxAnswerBytes = 16 << 20
	streamEnd      = "[DONE]"
)

// chatAnswer is a chat completion, a chunk of a streamed one, or an error.
type chatAnswer struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Code    string          `json:"code"`
		Outcome request.Outcome `json:"outcome"`
	} `json:"error"`
}

type callAnswer struct {
	Path string `json:"path"`
}

func (r *Routed) read(res *Result, job Job, resp *http.Response, clock Clock) {
	defer resp.Body.Close()
	res.Version = resp.Header.Get(headerVersion)
	res.Check = Unchecked
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		res.readFailure(resp)
	case job.Work.chat() && job.Work.Stream:
		res.readStream(resp.Body, job.prompt(r.run), clock)
	case job.Work.chat():
		res.readCompletion(resp.Body, job.prompt(r.run), clock)
	default:
		res.readCall(resp.Body, job.path(), clock)
	}
	res.Ended = clock()
	res.Cost = r.cost(res, resp.Header.Get(headerCost))
}

// cost returns the cost in the answer's header, or else the cost of its tokens.
func (r *Routed) cost(res *Result, header string) int64 {
	if cost, err := strconv.ParseInt(header, 10, 64); err == nil {
		return cost
	}
	return r.mix.cost(res.Version, res.InputTokens, res.OutputTokens)
}

func (res *Result) readFailure(resp *http.Response) {
	var body chatAnswer
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || json.Unmarshal(data, &body) != nil || body.Error == nil {
		res.fail(noAnswer, strconv.Itoa(resp.StatusCode))
		return
	}
	res.fail(body.Error.Outcome, body.Error.Code)
}

func (res *Result) fail(o request.Outcome, code string) {
	res.Outcome = o
	res.Code = code
}

func (res *Result) readCompletion(body io.Reader, prompt string, clock Clock) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	res.First = clock()
	var answer chatAnswer
	if err != nil || json.Unmarshal(data, &answer) != nil || len(answer.Choices) != 1 {
		res.fail(noAnswer, "answer_broke")
		return
	}
	res.finish(answer)
	res.Check = checkText(prompt, answer.Choices[0].Message.Content, res.OutputTokens)
}

func (res *Result) finish(last chatAnswer) {
	res.Outcome = request.Completed
	if last.Usage != nil {
		res.InputTokens = last.Usage.PromptTokens
		res.OutputTokens = last.Usage.CompletionTokens
	}
}

// readStream reads server-sent events up to the end mark. A stream without the mark
// counts as broken.
func (res *Result) readStream(body io.Reader, prompt string, clock Clock) {
	var text strings.Builder
	var last chatAnswer
	previous := clock()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxAnswerBytes)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == streamEnd {
			res.finish(last)
			res.Check = checkText(prompt, text.String(), res.OutputTokens)
			return
		}
		var chunk chatAnswer
		if json.Unmarshal(data, &chunk) != nil {
			break
		}
		if chunk.Error != nil {
			res.fail(chunk.Error.Outcome, chunk.Error.Code)
			return
		}
		previous = res.addPiece(&text, chunk, previous, clock)
		last = chunk
	}
	res.fail(noAnswer, "stream_broke")
}

// addPiece appends the text of a chunk and returns the time of the last chunk with
// text.
func (res *Result) addPiece(text *strings.Builder, chunk chatAnswer, previous time.Duration, clock Clock) time.Duration {
	if len(chunk.Choices) != 1 || chunk.Choices[0].Delta.Content == "" {
		return previous
	}
	text.WriteString(chunk.Choices[0].Delta.Content)
	return res.recordGap(previous, clock())
}

func (res *Result) readCall(body io.Reader, path string, clock Clock) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	res.First = clock()
	var answer callAnswer
	if err != nil || json.Unmarshal(data, &answer) != nil {
		res.fail(noAnswer, "answer_broke")
		return
	}
	res.Outcome = request.Completed
	res.Check = checkCall(path, answer.Path)
}
