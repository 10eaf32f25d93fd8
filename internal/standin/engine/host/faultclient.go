package host

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// FaultClient is a client of a stand-in upstream's fault port. The paths are /faults,
// /runs, /counts and, for services, /doubles.
type FaultClient struct {
	// Addr is the fault port's IP and port.
	Addr string
	// HTTP sends the requests. It must not be nil.
	HTTP *http.Client
}

// Get decodes the JSON answer of a path into out. It returns an error for any status
// other than 200.
func (c FaultClient) Get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Addr+path, nil)
	if err != nil {
		return eris.Wrap(err, "fault port")
	}
	return c.do(req, out)
}

// Change posts a change of faults, which leaves the faults that it does not contain
// unchanged. The resulting faults are decoded into out unless it is nil.
func (c FaultClient) Change(ctx context.Context, change, out any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return eris.Wrap(err, "fault port")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Addr+"/faults", bytes.NewReader(body))
	if err != nil {
		return eris.Wrap(err, "fault port")
	}
	return c.do(req, out)
}

func (c FaultClient) do(req *http.Request, out any) error {
	res, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "fault port")
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("fault port: %s %s: status %d", req.Method, req.URL.Path, res.StatusCode)
	}
	if out == nil {
		return nil
	}
	return eris.Wrap(json.NewDecoder(res.Body).Decode(out), "fault port")
}
