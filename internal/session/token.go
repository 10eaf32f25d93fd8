package session

import "time"

// Token is the content of a session token.
type Token struct {
	// ID is the session's unique name in logs.
	ID      string `json:"i"`
	Org     string `json:"o"`
	Version string `json:"v"`
	// Started is the session's start in Unix seconds.
	Started int64 `json:"s"`
}

// Age returns how long ago the session began; it is negative when the issuer's clock is ahead.
func (t Token) Age(now time.Time) time.Duration { return now.Sub(time.Unix(t.Started, 0)) }
