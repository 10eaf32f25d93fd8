package claim

import "time"

// LogSettings configure a [Log].
type LogSettings struct {
	// Writer identifies this process. No other process may ever use the same name,
	// not even a restart of this one.
	Writer string
	// Window is how long a key is retained; 0 means as long as its log.
	Window time.Duration
	// MinGap and MaxGap bound the time between two writes. MaxGap also bounds the
	// time between two failed reads.
	MinGap time.Duration
	// Burst is how many writes beyond one per gap are allowed after idle time.
	Burst  int
	MaxGap time.Duration
	// MaxEntries and MaxBytes bound a row. A single entry always fits.
	MaxEntries int
	MaxBytes   int
	// FailAfter is how long the table may fail before waiting operations are
	// answered with a failure.
	FailAfter time.Duration
}
