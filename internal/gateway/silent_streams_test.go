package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// streamText returns the text of the events from first to last.
func streamText(first, last int) string {
	var text strings.Builder
	for id := first; id <= last; id++ {
		fmt.Fprintf(&text, "id: %d\ndata: x\n\n", id)
	}
	return text.String()
}

// startStream writes the head of a stream without a length, and text.
func startStream(c net.Conn, text string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // the reader may have left
	sendChunk(c, text)
}

// recorder records an answer. begun is closed when its first part has been sent.
type recorder struct {
	*httptest.ResponseRecorder
	begun chan struct{}
}

func newRecorder() *recorder { return &recorder{httptest.NewRecorder(), make(chan struct{})} }

// Flush sends what was written.
func (r *recorder) Flush() {
	if !r.Flushed {
		close(r.begun)
	}
	r.ResponseRecorder.Flush()
}

func (r *recorder) body() string { return r.Body.String() }

func sendChunk(c net.Conn, text string) { _, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text) }

// runStream runs a request and returns what its caller got, and whether the answer is complete.
func runStream(j *job) (body string, complete bool) {
	defer func() {
		if r := recover(); r != nil && r != http.ErrAbortHandler {
			panic(r)
		}
		body = j.w.(interface{ body() string }).body()
	}()
	j.run()
	return "", j.outcome == "answered"
}

// silentStreams returns how many streams of the node have been silent for the stall timeout.
func (n *Node) silentStreams() uint64 {
	return n.metrics.Counter("hickorybank_silent_streams_total", "service", "s").Get()
}

// Fails if an answer is broken off because its upstream falls silent for a while, though no other
// upstream is certain to go on with it.
func TestSilentStreamGoesOnWhereItCannotMove(t *testing.T) {
	const streams = 6
	tests := []struct {
		name      string
		upstreams int
		budget    float64
	}{
		{"no other upstream", 1, 100},
		{"retry budget spent", 3, 0},
		{"all upstreams silent", 3, 100},
		{"all upstreams silent, retry budget for some", 3, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var n *Node
			var runs atomic.Int32
			d := pipeDialer{}
			for i := range test.upstreams {
				d[fmt.Sprintf("u%d", i)] = func(c net.Conn) {
					resumed := runs.Add(1) > streams
					if !resumed {
						startStream(c, streamText(1, 2))
					}
					for n.silentStreams() < streams { // all upstreams are silent until the last stream is
						pause(context.Background(), time.Millisecond)
					}
					if resumed {
						startStream(c, streamText(3, 5))
					} else {
						sendChunk(c, streamText(3, 5))
					}
					sendChunk(c, "")
				}
			}
			n = newPipeNode(d, test.budget)
			var all sync.WaitGroup
			for range streams {
				j := newStreamJob(t, n, newRecorder())
				all.Go(func() {
					body, complete := runStream(j)
					is.True(complete)
					is.Equal(body, streamText(1, 5))
				})
			}
			all.Wait()
		})
	}
}

// Fails if an answer waits for its silent upstream although another one can go on with it.
func TestSilentStreamMovesToAnUpstreamThatAnswers(t *testing.T) {
	is := is.New(t)
	left := make(chan struct{})
	n := newPipeNode(pipeDialer{
		"u0": func(c net.Conn) {
			startStream(c, streamText(1, 2))
			_, _ = c.Read(make([]byte, 1)) // silent until the node leaves
			close(left)
		},
		"u1": func(c net.Conn) { startStream(c, streamText(3, 5)); sendChunk(c, "") },
	}, 100)
	j := newStreamJob(t, n, newRecorder())
	body, complete := runStream(j)
	is.True(complete)
	is.Equal(body, streamText(1, 5))
	is.Equal(j.attemptsReached, 2)
	<-left // the upstream can stop its work
}

// Fails if streams of upstreams that hang stay there because no other upstream has open streams.
func TestStreamsLeaveHangingUpstreamsForAnIdleOne(t *testing.T) {
	const hanging = 3
	is := is.New(t)
	hang := func(c net.Conn) {
		startStream(c, streamText(1, 2))
		_, _ = c.Read(make([]byte, 1)) // silent until the node leaves
	}
	n := newPipeNode(pipeDialer{
		"u0": hang, "u1": hang, "u2": hang,
		"u3": func(c net.Conn) { startStream(c, streamText(3, 5)); sendChunk(c, "") },
	}, 100)
	var all sync.WaitGroup
	for i := range hanging {
		j := newStreamJob(t, n, newRecorder())
		for k := range hanging {
			if k != i {
				j.tried = append(j.tried, fmt.Sprintf("u%d", k)) // each stream begins at an upstream of its own
			}
		}
		all.Go(func() {
			body, complete := runStream(j)
			is.True(complete)
			is.Equal(body, streamText(1, 5))
		})
	}
	all.Wait()
}

// Fails if a silent stream is given up for a run that sends the head of its response and no event.
func TestSilentStreamIsNotLeftForAHeadAlone(t *testing.T) {
	is := is.New(t)
	headSent := make(chan struct{})
	n := newPipeNode(pipeDialer{
		"u0": func(c net.Conn) {
			startStream(c, streamText(1, 2))
			<-headSent
			sendChunk(c, streamText(3, 5))
			sendChunk(c, "")
		},
		"u1": func(c net.Conn) {
			startStream(c, "id: 3\n")
			close(headSent)
			_, _ = c.Read(make([]byte, 1)) // silent until the node leaves
		},
	}, 100)
	j := newStreamJob(t, n, newRecorder())
	j.route.MaxAttempts = 2
	body, complete := runStream(j)
	is.True(complete)
	is.Equal(body, streamText(1, 5))
}

// Fails if a silent stream asks no other upstream after the first one could not go on with it.
func TestSilentStreamAsksAnotherUpstreamAfterAFailure(t *testing.T) {
	for name, failure := range map[string]func(c net.Conn){
		"error":          func(c net.Conn) { reply(c, http.StatusInternalServerError, "") },
		"breaks off":     func(c net.Conn) { startStream(c, "id: 3\nda") },
		"starts over":    func(c net.Conn) { startStream(c, streamText(1, 5)); sendChunk(c, "") },
		"another answer": func(c net.Conn) { reply(c, http.StatusNotFound, "") },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			n := newPipeNode(pipeDialer{
				"u0": func(c net.Conn) {
					startStream(c, streamText(1, 2))
					_, _ = c.Read(make([]byte, 1)) // silent until the node leaves
				},
				"u1": failure,
				"u2": func(c net.Conn) { startStream(c, streamText(3, 5)); sendChunk(c, "") },
			}, 100)
			j := newStreamJob(t, n, newRecorder())
			body, complete := runStream(j)
			is.True(complete)
			is.Equal(body, streamText(1, 5))
		})
	}
}

// Fails if a resumed answer holds events of a run that does not go on after the caller's last one,
// or ends as complete with another answer's body.
func TestResumedStreamHoldsOnlyItsNextEvents(t *testing.T) {
	tests := []struct {
		name     string
		resumed  func(c net.Conn)
		body     string
		complete bool
	}{
		{"goes on", func(c net.Conn) { startStream(c, streamText(3, 5)); sendChunk(c, "") }, streamText(1, 5), true},
		{"ids with gaps", func(c net.Conn) { startStream(c, streamText(7, 8)); sendChunk(c, "") }, streamText(1, 2) + streamText(7, 8), true},
		{"starts over", func(c net.Conn) { startStream(c, streamText(1, 5)); sendChunk(c, "") }, streamText(1, 2), false},
		{"repeats the last event", func(c net.Conn) { startStream(c, streamText(2, 5)); sendChunk(c, "") }, streamText(1, 2), false},
		{"goes back later", func(c net.Conn) {
			startStream(c, streamText(3, 4))
			sendChunk(c, streamText(2, 5))
			sendChunk(c, "")
		}, streamText(1, 4), false},
		{"another ID in an event", func(c net.Conn) { startStream(c, "id: 3\n\nid: 6\nid: 2\n\n"+streamText(4, 5)); sendChunk(c, "") }, streamText(1, 2) + "id: 3\n\n", false},
		{"a whole answer below 500", func(c net.Conn) { reply(c, http.StatusNotFound, "no such run") }, streamText(1, 2), false},
		{"a whole answer of another kind", func(c net.Conn) { reply(c, http.StatusAccepted, streamText(3, 4)) }, streamText(1, 2), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			n := newPipeNode(pipeDialer{
				"u0": func(c net.Conn) { startStream(c, streamText(1, 2)) }, // breaks off
				"u1": test.resumed,
			}, 100)
			j := newStreamJob(t, n, newRecorder())
			j.route.MaxAttempts = 2
			body, complete := runStream(j)
			is.Equal(complete, test.complete)
			is.Equal(body, test.body)
		})
	}
}

// Fails if an event without an ID, or one with an ID that is no number, is taken for a step back.
func TestEventsWithoutNumbersAreForwarded(t *testing.T) {
	is := is.New(t)
	text := "id: 5\ndata: a\n\ndata: b\n\nid: x-1\ndata: c\n\nid: a-0\ndata: d\n\n"
	n := newPipeNode(pipeDialer{"u0": func(c net.Conn) { startStream(c, text); sendChunk(c, "") }}, 100)
	j := newStreamJob(t, n, newRecorder())
	body, complete := runStream(j)
	is.True(complete)
	is.Equal(body, text)
}
