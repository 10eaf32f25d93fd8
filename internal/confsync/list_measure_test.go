package confsync_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/hickorybank/hickorybank/internal/platform"
	"github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/platform/client/wire"
)

// BenchmarkListRead measures reads of the VM list over loopback, in full and unchanged: time
// and allocations of both sides, and the payload in both directions.
func BenchmarkListRead(b *testing.B) {
	for _, vms := range []int{24, 250, 2500, 11_600} {
		for _, whole := range []bool{true, false} {
			b.Run(fmt.Sprintf("vms=%d/whole=%v", vms, whole), func(b *testing.B) { measureListRead(b, vms, whole) })
		}
	}
}

func measureListRead(b *testing.B, vms int, whole bool) {
	addr, bytes := listServer(b, vms)
	c := client.New(addr)
	defer c.Close()
	lists := c.VMs().(platform.ConditionalVMs)
	tag := ""
	if !whole {
		tag = listTag
	}
	b.ReportAllocs()
	reads := 0
	for b.Loop() {
		read, err := lists.ListIfChanged(b.Context(), tag)
		if err != nil || read.Unchanged == whole {
			b.Fatal(read.Unchanged, err)
		}
		reads++
	}
	b.ReportMetric(float64(bytes.Load())/float64(reads), "bytes/read")
}

const listTag = `"1"`

// listServer serves a list that never changes and counts the bytes of its connections.
func listServer(b *testing.B, vms int) (string, *atomic.Int64) {
	list := make([]platform.VM, vms)
	for i := range list {
		list[i] = platform.VM{
			ID: fmt.Sprintf("runner-%05d", i), Role: platform.RoleEngine, State: platform.Live,
			Addr: fmt.Sprintf("10.0.%d.%d:8000", i>>8, i&255), FailureDomain: fmt.Sprint("zone-", i%38),
		}
	}
	body, err := json.Marshal(wire.VMsResponse{VMs: list})
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("ETag", listTag)
		if r.Header.Get("If-None-Match") == listTag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		_, _ = w.Write(body)
	}))
	bytes := new(atomic.Int64)
	server.Listener = countedListener{Listener: server.Listener, bytes: bytes}
	server.Start()
	b.Cleanup(server.Close)
	return server.URL, bytes
}

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countedConn{Conn: conn, bytes: l.bytes}, err
}
