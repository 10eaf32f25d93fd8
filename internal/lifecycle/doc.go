// Package lifecycle decides the life of one request: which upstream to try,
// when to resume, retry, cancel or give up, when the answer may leave, and
// what is truly said of a request that did not complete.
//
// The machines do no I/O and read no clock. Each event method returns the
// decisions that the caller must carry out, in order; their results come back
// as further events. A machine belongs to one goroutine at a time. After
// [Finish] or [Fail] every further event is ignored, so answers that arrive
// late change nothing.
package lifecycle
