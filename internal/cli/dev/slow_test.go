package dev

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// A program opens many connections and sends a header that never ends. Each
// holds memory and a descriptor of a small VM, until honest callers find no
// room. The node must close such a connection by itself, and go on serving.
func TestSlowHeadersAreCutOff(t *testing.T) {
	is := is.New(t)
	d := start(t, "sahel")
	const connections = 20
	var all conc.WaitGroup
	for _, addr := range []string{d.entries[0].Addr(), d.entries[0].AdminAddr()} {
		for range connections {
			all.Go(func() { sendSlowly(t, addr) })
		}
	}
	all.Wait()
	is.Equal(chat(t, d.BaseURL(), "tunis", "Hickorybank-Class", "assessment").code(), "model_not_found not_run") // it serves
}

// sendSlowly sends a header line after line until the other side closes.
func sendSlowly(t *testing.T, addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(ampleTime)); err != nil {
		t.Error(err)
		return
	}
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-A: ")
	if err != nil {
		t.Error(err)
		return
	}
	answer, err := io.ReadAll(conn) // ends when the node closes
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Error("the connection was still open:", err)
	}
	if strings.Contains(string(answer), "200 OK") {
		t.Error(string(answer))
	}
}
