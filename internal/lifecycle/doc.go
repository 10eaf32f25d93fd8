// Package lifecycle holds the state machines of one chat request and one service call. They
// decide when to select an upstream, resume, retry, cancel or fail, when the answer may be
// sent, and which outcome is reported for a request that did not complete.
//
// The state machines do no I/O and read no clock. Each event method returns the decisions
// that its caller must carry out, in order; their results are reported as further events. A
// state machine must not be used by two goroutines at once. After [Finish] or [Fail] a [Chat]
// ignores every event, so late answers change nothing. A [Call] still closes its claim then.
package lifecycle
