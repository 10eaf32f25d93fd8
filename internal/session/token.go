package session

import "time"

// Token is what a session's token says.
type Token struct {
	// ID names the session in logs; it is unique.
	ID      string `json:"i"`
	Org     string `json:"o"`
	Version string `json:"v"`
	// Started is in whole seconds since 1970 (UTC).
	Started int64 `json:"s"`
}

// Age is how long ago the session began.
func (t Token) Age(now time.Time) time.Duration { return now.Sub(time.Unix(t.Started, 0)) }
