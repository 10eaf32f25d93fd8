package platform

import (
	"bytes"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
	"github.com/hickorybank/hickorybank/internal/standin/platform/control"
)

// fuzzTargets are the requests with a JSON body.
var fuzzTargets = []struct {
	fault bool
	path  string
	seed  string
}{
	{false, wire.PathGet, `{"key":"a"}`},
	{false, wire.PathScan, `{"prefix":"a","after":"b","limit":3}`},
	{false, wire.PathCommit, `{"conditions":[{"key":"a","version":1}],"writes":[{"key":"a","value":"eA=="}]}`},
	{false, wire.PathVMs, `{"id":"vm-1","role":"entry","addr":"127.0.0.1:1","failure_domain":"manga"}`},
	{false, wire.PathRate, `{"version":"v","class":"draft","prompt":"p","answer":"a"}`},
	{true, control.PathFaults, `{"table":{"down":true,"lose_acks":3},"rating":{"delay_ms":5}}`},
	{true, control.PathLimits, `{"writes_per_second":1.5,"vm_list_lag_ms":10}`},
	{true, control.PathQuality, `{"version":"v","class":"","quality":0.5}`},
}

// acceptedStatuses are the statuses that the interface defines.
var acceptedStatuses = []int{
	http.StatusOK,
	http.StatusNoContent,
	http.StatusBadRequest,
	http.StatusNotFound,
	http.StatusTooManyRequests,
	http.StatusServiceUnavailable,
}

// FuzzRequests sends arbitrary bodies to every request with a JSON body. Each answer
// must have one of the statuses that the interface defines.
func FuzzRequests(f *testing.F) {
	for i, r := range fuzzTargets {
		f.Add(uint8(i), []byte(r.seed))
		f.Add(uint8(i), []byte(`{"unknown":1}`))
	}
	f.Fuzz(func(t *testing.T, index uint8, body []byte) {
		server, err := New(Settings{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		target := fuzzTargets[int(index)%len(fuzzTargets)]
		handler := server.routes()
		if target.fault {
			handler = server.faultRoutes()
		}
		recorder := httptest.NewRecorder()
		req := httptest.NewRequest(http.MethodPost, target.path, bytes.NewReader(body))
		handler.ServeHTTP(recorder, req)
		if !slices.Contains(acceptedStatuses, recorder.Code) {
			t.Fatalf("status %d: %s", recorder.Code, recorder.Body)
		}
	})
}
