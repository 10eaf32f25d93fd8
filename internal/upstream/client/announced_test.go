package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/notice"
	"github.com/hickorybank/hickorybank/internal/upstream"
)

// The headers of an overloaded upstream must not be ignored in refusals, failures and load
// reports.
func TestHandlerReceivesNoticesOfEachResponse(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(upstream.HeaderRateLimit, "2.5")
		w.Header().Set(upstream.HeaderLeaving, "1")
		w.Header().Set(upstream.HeaderRetryAfter, "1.5")
		w.WriteHeader(status)
		_, _ = w.Write([]byte("{}")) // the client checks the response
	}))
	defer server.Close()
	addr := server.Listener.Addr().String()
	var received []notice.Response
	ctx := upstream.WithNoticeHandler(context.Background(), func(a notice.Response, _ time.Time) { received = append(received, a) })
	services, engines := NewServices(Options{}), NewEngines(Options{})
	defer services.Close()
	defer engines.Close()
	for _, status = range []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusInternalServerError} {
		_, _ = services.Do(ctx, addr, upstream.ServiceCall{Method: http.MethodGet, Path: "/"}) // failures count as well
		_, _ = engines.Load(ctx, addr)                                                         // as above
	}
	is.Equal(len(received), 6)
	for i, a := range received {
		is.Equal(a.Limit, notice.Limit{Named: true, PerSecond: 2.5})
		is.True(a.Leaving)
		refused := i == 2 || i == 3
		is.Equal(a.Backoff > 0, refused)
	}
}
