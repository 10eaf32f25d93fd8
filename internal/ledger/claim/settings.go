package claim

import "time"

// LogSettings are the settings of a [Log].
type LogSettings struct {
	// Writer identifies this process among all that write the log, ever.
	Writer string
	// Window is how long a key is kept; 0 means as long as its log.
	Window time.Duration
	// MinGap and MaxGap bound the time between two writes; MaxGap also
	// that between two failed reads.
	MinGap time.Duration
	// Burst is how many writes may go before their gap, once saved up.
	Burst  int
	MaxGap time.Duration
	// MaxEntries and MaxBytes bound a row. A single entry always fits.
	MaxEntries int
	MaxBytes   int
	// FailAfter is how long the table may fail before those who wait are
	// told so.
	FailAfter time.Duration
}
