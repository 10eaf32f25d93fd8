package engine

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/hickorybank/hickorybank/internal/upstream"
)

// crossedSeq is the sequence number of the chunk before which the cross fault sends a
// chunk of another attempt.
const crossedSeq = 2

func (s *Server) resume(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	seq, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil || seq < 0 {
		http.Error(w, "after is no piece number", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	g := s.streams[p.ByName("attempt")]
	var sf streamFaults
	if g != nil {
		sf = s.faults.takeStream()
	}
	s.mu.Unlock()
	if g == nil {
		http.Error(w, "stream is unknown", http.StatusNotFound)
		return
	}
	s.send(w, r, g, seq, sf)
}

func (s *Server) cancel(w http.ResponseWriter, _ *http.Request, p httprouter.Params) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.streams[p.ByName("attempt")]
	if g == nil {
		http.Error(w, "stream is unknown", http.StatusNotFound)
		return
	}
	s.cancelGeneration(g)
	s.wakeDriver()
	w.WriteHeader(http.StatusNoContent)
}

// send streams the generation's chunks after seq until its end.
func (s *Server) send(w http.ResponseWriter, r *http.Request, g *generation, seq int, sf streamFaults) {
	more := g.subscribe()
	defer func() { g.unsubscribe(s.now(), more) }()
	out := newSender(w, s, g, seq, sf)
	for out.sendUpTo(g.progress()) {
		select {
		case <-more:
		case <-r.Context().Done():
			return
		case <-s.host.Cut():
			panic(http.ErrAbortHandler)
		}
		s.host.WaitThawed()
	}
}

// sender writes the chunks of a generation as server-sent events.
type sender struct {
	server *Server
	w      http.ResponseWriter
	flush  *http.ResponseController
	gen    *generation
	seq    int
	sent   int
	faults streamFaults
	buf    bytes.Buffer
	enc    *json.Encoder
}

func newSender(w http.ResponseWriter, s *Server, g *generation, seq int, sf streamFaults) *sender {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &sender{server: s, w: w, flush: http.NewResponseController(w), gen: g, seq: seq, faults: sf}
	out.enc = json.NewEncoder(&out.buf)
	_ = out.flush.Flush()
	return out
}

// sendUpTo writes the chunks up to the number produced. It reports whether the stream
// may continue.
func (o *sender) sendUpTo(produced int, state genState) bool {
	o.buf.Reset()
	for o.seq < produced {
		o.cutIfDue()
		if o.faults.cross && o.seq+1 >= crossedSeq {
			o.faults.cross = false
			o.add(o.server.foreignChunk(o.gen))
		}
		o.seq++
		o.sent++
		o.add(o.gen.chunk(o.seq))
	}
	o.cutIfDue()
	if state == genFailed {
		o.buf.WriteString("event: error\ndata: {\"code\":500,\"message\":\"version failed\"}\n\n")
	}
	_, err := o.w.Write(o.buf.Bytes())
	if err != nil || o.flush.Flush() != nil {
		return false
	}
	if state == genLost {
		panic(http.ErrAbortHandler)
	}
	return state == genRunning
}

// cutIfDue breaks the connection of a stream with the cut fault once it has sent its
// number of chunks.
func (o *sender) cutIfDue() {
	if !o.faults.cut || o.sent < o.faults.cutAfter {
		return
	}
	_, _ = o.w.Write(o.buf.Bytes())
	_ = o.flush.Flush()
	panic(http.ErrAbortHandler)
}

func (o *sender) add(c upstream.Chunk) {
	o.buf.WriteString("id: ")
	o.buf.WriteString(strconv.Itoa(c.Seq))
	o.buf.WriteString("\ndata: ")
	if err := o.enc.Encode(c); err != nil { // ends the line
		panic(err) // cannot happen: a chunk has only strings and numbers
	}
	o.buf.WriteByte('\n')
}
