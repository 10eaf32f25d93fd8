package scenario

import "fmt"

// outcome is the outcome of a request as reported to the caller.
type outcome string

const (
	completed outcome = "completed"
	notRun    outcome = "not_run"
	unknown   outcome = "unknown"
	// cutOff: the connection ended without a final answer.
	cutOff outcome = "cut_off"
)

// result is the result of one call.
type result struct {
	call    call
	outcome outcome
	status  int
	code    string // error code
	message string
	retry   string // Retry-After
	version string
	session string
	text    string
	stream  string // token to resume the stream at any entry
	last    int    // number of the last piece received
	// unreached: the connection could not be established, so nothing was sent.
	unreached bool
	// answerErr describes why an answer that ended as complete is invalid, or is nil.
	answerErr error
}

// String returns the line that a scenario can match with "stdout".
func (r result) String() string {
	return fmt.Sprintf("outcome=%s status=%d code=%s version=%s retry=%s message=%q text=%q\n",
		r.outcome, r.status, r.code, r.version, r.retry, r.message, r.text)
}
