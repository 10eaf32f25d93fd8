package scenario

import "fmt"

// outcome is what a caller was told became of its request.
type outcome string

const (
	completed outcome = "completed"
	notRun    outcome = "not_run"
	unknown   outcome = "unknown"
	// cutOff: the connection ended without a final answer.
	cutOff outcome = "cut_off"
)

// result is what came of one call.
type result struct {
	order   order
	outcome outcome
	status  int
	code    string // of the error
	message string
	retry   string // Retry-After
	version string
	session string
	text    string
	stream  string // token with which any entry reads on
	last    int    // number of the last piece that came
	// unreached: no connection came about, so nothing was sent.
	unreached bool
	// fault says what is wrong with an answer that claims to be whole.
	fault error
}

// String is the line that a scenario may match with "stdout".
func (r result) String() string {
	return fmt.Sprintf("outcome=%s status=%d code=%s version=%s retry=%s message=%q text=%q\n",
		r.outcome, r.status, r.code, r.version, r.retry, r.message, r.text)
}
