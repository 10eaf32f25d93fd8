package logring

import (
	"log/slog"
	"time"
)

const (
	// floorInterval is the pause after which a line of a kind passes although the rate limit is
	// exceeded.
	floorInterval = time.Second
	// maxFloorKinds bounds the kinds that have a floor in one interval.
	maxFloorKinds = 64
)

// kind identifies lines that tell operators the same, by the attributes of their record.
type kind struct {
	event, status int64
	reason, route string
}

// floor passes one line of each kind in each interval. Without it the rate limit could drop the
// only lines on a route that is refused beside busy ones.
type floor struct {
	began  time.Time
	passed map[kind]struct{}
}

// take reports whether the record is the first of its kind in the interval. A record without an
// event number has no floor.
func (f *floor) take(r slog.Record) bool {
	k := kindOf(r)
	if k.event == 0 {
		return false
	}
	if f.passed == nil || r.Time.Sub(f.began) >= floorInterval {
		f.began, f.passed = r.Time, make(map[kind]struct{}, maxFloorKinds)
	}
	if _, passed := f.passed[k]; passed || len(f.passed) >= maxFloorKinds {
		return false
	}
	f.passed[k] = struct{}{}
	return true
}

func kindOf(r slog.Record) kind {
	var k kind
	r.Attrs(func(a slog.Attr) bool {
		switch {
		case a.Key == "event" && a.Value.Kind() == slog.KindInt64:
			k.event = a.Value.Int64()
		case a.Key == "status" && a.Value.Kind() == slog.KindInt64:
			k.status = a.Value.Int64()
		case a.Key == "reason" && a.Value.Kind() == slog.KindString:
			k.reason = a.Value.String()
		case a.Key == "route" && a.Value.Kind() == slog.KindString:
			k.route = a.Value.String()
		}
		return true
	})
	return k
}
