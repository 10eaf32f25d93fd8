package crashguard

import "time"

const (
	// answerPeriod is the length of one period of an answer log.
	answerPeriod = 30 * time.Second
	// maxAnswerKeys bounds the keys of one period.
	maxAnswerKeys = 4096
)

// answerLog remembers, for one to two periods, the keys whose requests were answered.
type answerLog struct {
	current, previous map[Key]bool
	since             time.Time
}

// add records an answer.
func (l *answerLog) add(key Key, now time.Time) {
	if l.current == nil || now.Sub(l.since) >= answerPeriod || len(l.current) >= maxAnswerKeys {
		l.previous, l.current, l.since = l.current, map[Key]bool{}, now
	}
	l.current[key] = true
}

// has reports whether requests with the key were answered lately.
func (l *answerLog) has(key Key) bool { return l.current[key] || l.previous[key] }
