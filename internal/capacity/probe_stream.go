package capacity

import (
	"net"
	"net/http"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/api"
	"github.com/hickorybank/hickorybank/internal/upstream/client"
)

// streamCallers is the number of concurrent streams. It keeps the threads of the process as busy as
// on a node, so that they do not spin while idle.
const streamCallers = 64

// streamProbes measure an answer on its way through a node, without decisions.
func streamProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "stream.answer", What: "a streamed answer from an engine to a caller: HTTP, server-sent events, life of the request; bare sockets at both ends included", Per: "tokens of the answer", Unit: Nanoseconds},
			Sizes: []int{4, 32, 128}, QuickSizes: []int{4, 32}, Measure: measureStream,
		},
		{
			Slope: Slope{Name: "stream.heap", What: "the heap and stacks of streams under way", Per: "streams at once", Unit: Bytes},
			Sizes: []int{64, 256}, QuickSizes: []int{16, 64}, Measure: measureStreamHeap,
		},
	}
}

// streamRig is an engine, a router and callers.
type streamRig struct {
	engine  *rawEngine
	engines *client.Engines
	server  *http.Server
	serving conc.WaitGroup
	callers rawCallers
}

func newStreamRig(callers, pieces int) (*streamRig, error) {
	turns := newPieceAcks(callers)
	engine, err := newRawEngine(pieces, turns)
	if err != nil {
		return nil, err
	}
	snapshot, err := snapshotOf(10)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "listen")
	}
	r := &streamRig{engine: engine, engines: client.NewEngines(client.Options{})}
	r.server = &http.Server{Handler: api.New(&singleEngineRouter{snapshot: snapshot, engines: r.engines, addr: engine.Addr()})}
	r.serving.Go(func() { _ = r.server.Serve(listener) }) // returns when closed
	for i := range callers {
		c, err := newRawCaller(listener.Addr().String(), versionName0, i, pieces, turns[i])
		if err != nil {
			r.close()
			return nil, err
		}
		r.callers = append(r.callers, c)
	}
	return r, nil
}

func (r *streamRig) close() {
	r.callers.close()
	_ = r.server.Close()
	r.serving.Wait()
	r.engines.Close()
	r.engine.Close()
}

func measureStream(m Meter, tokens int) (float64, error) {
	r, err := newStreamRig(streamCallers, tokens)
	if err != nil {
		return 0, err
	}
	defer r.close()
	return r.callers.measure(m)
}
