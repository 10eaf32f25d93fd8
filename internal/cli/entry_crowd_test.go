//go:build !race

package cli

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
)

// The crowd of these tests and the bounds of the entry node that it meets.
const (
	entryCrowd       = 400
	entryConnections = 800
	entryMemoryMB    = 128
	entryMaxFDs      = 500
	// entryFileFDs are the descriptors that are reserved for files.
	entryFileFDs = 200
	entryKey     = "demo-tunis"
)

// entryProcess is an entry node in its own process, and the greatest use of its bounds that was seen.
type entryProcess struct {
	t                 *testing.T
	cmd               *exec.Cmd
	addr, peer, admin string
	stop              chan struct{}
	watcher           conc.WaitGroup
	peakSockets       int
	client            *http.Client
}

// startEntry starts an entry node with small bounds.
func startEntry(t *testing.T) *entryProcess {
	t.Helper()
	is := is.New(t)
	server, err := standin.New(standin.Settings{Listen: "127.0.0.1:0"}, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	is.NoErr(server.Start())
	t.Cleanup(func() { is.NoErr(server.Close(context.Background())) })
	base := "http://" + server.Addr()
	file := tempFile(t, "first.json", runCommand("config", "example", "--deployment", "sahel").out)
	is.Equal(runCommand("admin", "bootstrap", file, "--platform", base).code, 0)
	self, err := os.Executable()
	is.NoErr(err)
	p := &entryProcess{t: t, stop: make(chan struct{}), client: &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	p.cmd = exec.Command(self, "entry", "--id", "e1", "--failure-domain", "a", "--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0",
		"--admin-listen", "127.0.0.1:0", "--operator-key-hash", "ana="+config.HashKey(example.OperatorKey), "--platform", base,
		"--session-key", strings.Repeat("ab", 32), "--register", "--log-level", "error")
	p.cmd.Env = append(os.Environ(), runAsCommandVariable+"=1", "HICKORYBANK_MEMORY="+strconv.Itoa(entryMemoryMB), "HICKORYBANK_MAX_DESCRIPTORS="+strconv.Itoa(entryMaxFDs))
	p.cmd.Stderr = os.Stderr
	out, err := p.cmd.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // the process may have ended
		_ = p.cmd.Wait()         // as above
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	is.NoErr(err)
	words := strings.Fields(line) // ready entry ADDR peer ADDR admin ADDR
	is.Equal(len(words), 7)
	p.addr, p.peer, p.admin = words[2], words[4], words[6]
	p.checkServed("at the start")
	p.watcher.Go(p.watch)
	return p
}

// watch samples the sockets of the process until meet stops it.
func (p *entryProcess) watch() {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(5 * time.Millisecond):
			p.peakSockets = max(p.peakSockets, p.sockets())
		}
	}
}

func (p *entryProcess) sockets() int {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid)) // none if the process has ended
	count := 0
	for _, link := range links {
		if target, err := os.Readlink(link); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// peakMemory returns the largest resident memory that the process has had, in MiB.
func (p *entryProcess) peakMemory() int {
	p.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kib / 1024
}

// checkServed asks until an ordinary request is answered.
func (p *entryProcess) checkServed(when string) {
	p.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodGet, "http://"+p.addr+"/v1/models", nil)
		if err != nil {
			p.t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+entryKey)
		resp, err := p.client.Do(req)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close() // it has been read
		if err == nil && resp.StatusCode == http.StatusOK {
			return
		}
	}
	p.t.Fatalf("no ordinary request is answered %s", when)
}

// meet has a crowd of clients write on connections of their own and stay, and checks that ordinary requests
// are answered beside it and after it, and that the process has kept its bounds.
func (p *entryProcess) meet(clients int, addr string, write func(c net.Conn)) {
	p.t.Helper()
	is := is.New(p.t)
	var written sync.WaitGroup
	var gone conc.WaitGroup
	left := make(chan struct{})
	for range clients {
		written.Add(1)
		gone.Go(func() {
			c, err := net.Dial("tcp4", addr)
			if err != nil {
				written.Done()
				return
			}
			defer func() { _ = c.Close() }() // the process may have closed it
			_ = c.SetWriteDeadline(time.Now().Add(5 * time.Second))
			gone.Go(func() { _, _ = io.Copy(io.Discard, c) })
			write(c)
			written.Done()
			<-left
		})
	}
	written.Wait()
	for sockets, same := -1, 0; same < 30; time.Sleep(5 * time.Millisecond) {
		if now := p.sockets(); now != sockets {
			sockets, same = now, 0
		}
		same++
	}
	p.checkServed("beside the crowd")
	close(left)
	gone.Wait()
	p.checkServed("after the crowd")
	close(p.stop)
	p.watcher.Wait()
	p.t.Logf("peak %d MiB resident, %d sockets", p.peakMemory(), p.peakSockets)
	is.NoErr(p.cmd.Process.Signal(syscall.Signal(0)))  // the process lives
	is.True(p.peakMemory() <= entryMemoryMB)           // resident memory
	is.True(p.peakSockets <= entryMaxFDs-entryFileFDs) // sockets
}

// Fails if clients that do not behave take an entry node beyond its memory or its descriptors, or keep others
// from being answered.
func TestCrowdOfClientsLeavesEntryNodeServing(t *testing.T) {
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + entryKey + "\r\nIdempotency-Key: k\r\n"
	lines := func(size int) string {
		var b strings.Builder
		for i := 0; b.Len() < size; i++ {
			b.WriteString(strconv.FormatInt(int64(i), 36) + ":\n")
		}
		return b.String()
	}
	for _, c := range []struct {
		name, listener string
		clients        int
		text           string
	}{
		{"short lines, body unfinished", "callers", entryCrowd, head + lines(30_000) + "Content-Length: 10\r\n\r\nfirst"},
		{"short lines that stop", "callers", entryCrowd, head + lines(60_000)},
		{"short lines without end", "callers", entryCrowd, head + strings.Repeat("ab:\n", 250_000)},
		{"bodies one byte short", "callers", entryCrowd, head + "Content-Length: 1000001\r\n\r\n" + strings.Repeat("x", 1_000_000)},
		{"bodies in chunks without an end", "callers", entryCrowd, head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("3e8\r\n"+strings.Repeat("x", 1000)+"\r\n", 1000)},
		{"short lines that stop", "admin", entryCrowd, "GET /metrics HTTP/1.1\r\nHost: h\r\n" + lines(60_000)},
		{"call without end", "peer", entryCrowd, "\xfc\x3f\xff\xff\xff" + strings.Repeat("x", 1_000_000)},
		{"silent", "callers", entryConnections, ""},
		{"first byte of a request", "callers", entryConnections, "G"},
		{"silent", "admin", entryConnections, ""},
		{"silent", "peer", entryConnections, ""},
	} {
		t.Run(c.listener+"/"+c.name, func(t *testing.T) {
			p := startEntry(t)
			addr := map[string]string{"callers": p.addr, "admin": p.admin, "peer": p.peer}[c.listener]
			p.meet(c.clients, addr, func(conn net.Conn) { _, _ = io.WriteString(conn, c.text) })
		})
	}
}
