package capacity

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
)

// processProbes must run first: later probes leave memory in use.
func processProbes() []Probe {
	return []Probe{{
		Slope: Slope{Name: "process.resident", What: "resident memory of the program before it does anything", Per: "nothing", Unit: Bytes},
		Sizes: []int{0}, Measure: func(Meter, int) (float64, error) { return resident() },
	}, {
		Slope: Slope{Name: "http.get", What: "a short GET answered, a client's part included", Per: "nothing", Unit: Nanoseconds},
		Sizes: []int{0}, Measure: measureGet,
	}}
}

// resident returns the resident memory of this process in bytes.
func resident() (float64, error) {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0, eris.Wrap(err, "resident memory")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, eris.New("resident memory: /proc/self/statm has fewer than 2 fields")
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), eris.Wrap(err, "resident memory")
}

func measureGet(m Meter, _ int) (float64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, eris.Wrap(err, "listen")
	}
	body := strings.Repeat("x", 200)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })}
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) }) // returns when closed
	defer serving.Wait()
	defer func() { _ = server.Close() }()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	v := m.CPU(func(n int) {
		for range n {
			if failed := get(client, "http://"+listener.Addr().String()); failed != nil {
				err = failed
				return
			}
		}
	})
	return v, err
}

func get(client *http.Client, url string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	_, err = io.Copy(io.Discard, res.Body)
	return err
}
