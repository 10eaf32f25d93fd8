package gateway

import (
	"context"
	"sync"
	"time"
)

// stopBound is the end of a stop: what runs later is cut off without an answer.
type stopBound struct {
	began context.Context
	begin context.CancelFunc
	// end is set before began ends.
	end time.Time
	// runTimes tells which attempts end before.
	runTimes *runTimes
}

func newStopBound() *stopBound {
	ctx, cancel := context.WithCancel(context.Background())
	return &stopBound{began: ctx, begin: cancel, runTimes: newRunTimes()}
}

// set begins the stop.
func (s *stopBound) set(end time.Time) {
	s.end = end
	s.begin()
}

// isStopping reports whether the node's stop has begun.
func (n *Node) isStopping() bool { return n.stopBound.began.Err() != nil }

// outlivesStop reports whether an attempt that begins now would probably be cut off by the end of
// this node's stop. The caller knows other nodes, and an answer that nothing has run lets it repeat
// any request there.
func (j *job) outlivesStop() bool {
	latest, ok := j.latestStart()
	return ok && time.Now().After(latest)
}

// latestStart returns the latest start of an attempt that ends within this node's stop; ok is false
// if the node does not stop, or the request's own deadline comes before the end.
func (j *job) latestStart() (latest time.Time, ok bool) {
	stop := j.node.stopBound
	if !j.node.isStopping() || !j.deadline.After(stop.end) {
		return time.Time{}, false
	}
	return stop.end.Add(-stop.runTimes.usual(j.route)), true
}

// boundBodyByStop ends the reading of the job's body once a run could no longer end within a stop of
// this node, whenever the stop begins. The caller calls release after the body.
//
// Nothing is set after the release: a read deadline that passes later would look like a caller that
// has left.
func (j *job) boundBodyByStop(setReadDeadline func(time.Time) error) (release func()) {
	var mu sync.Mutex
	released := false
	cancel := context.AfterFunc(j.node.stopBound.began, func() {
		mu.Lock()
		defer mu.Unlock()
		if latest, ok := j.latestStart(); ok && !released {
			_ = setReadDeadline(latest) // the connection may be closed already
		}
	})
	return func() {
		cancel()
		mu.Lock()
		defer mu.Unlock()
		released = true
	}
}
