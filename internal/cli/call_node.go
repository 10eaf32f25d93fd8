package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// callNode calls a node at the address of its metrics, and decodes its JSON answer.
func callNode(ctx context.Context, address, method string, target url.URL, answer any) error {
	call, err := http.NewRequestWithContext(ctx, method, target.String(), nil)
	if err != nil {
		return eris.Wrap(err, "request to node")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Do(call)
	if err != nil {
		return eris.Wrapf(err, "node %s gave no answer", address)
	}
	defer func() { _ = resp.Body.Close() }()
	body := json.NewDecoder(io.LimitReader(resp.Body, maxNodeAnswer))
	if resp.StatusCode != http.StatusOK {
		var failure struct{ Error string }
		if body.Decode(&failure) != nil || failure.Error == "" {
			failure.Error = "is this the address of its metrics?"
		}
		return eris.Errorf("node %s answered %d: %s", address, resp.StatusCode, failure.Error)
	}
	return eris.Wrapf(body.Decode(answer), "answer of node %s", address)
}

// maxNodeAnswer bounds the answer of a node that is read, in bytes.
const maxNodeAnswer = 8 << 20
