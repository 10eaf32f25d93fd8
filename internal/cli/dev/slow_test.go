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

// A client opens many connections and sends a header that never ends on each. Each connection
// occupies memory and a file descriptor of a small VM, until other callers are locked out. The node
// must close such connections after a time limit and continue to serve.
func TestEndlessHeaderTimesOut(t *testing.T) {
	is := is.New(t)
	d := startDeployment(t, "sahel")
	const connections = 20
	var wg conc.WaitGroup
	for _, addr := range []string{d.entries[0].Addr(), d.entries[0].AdminAddr()} {
		for range connections {
			wg.Go(func() { sendEndlessHeader(t, addr) })
		}
	}
	wg.Wait()
	is.Equal(chat(t, d.BaseURL(), "tunis", "Hickorybank-Class", "assessment").code(), "model_not_found not_run") // it serves
}

// sendEndlessHeader sends an unfinished header and waits until the node closes the connection.
func sendEndlessHeader(t *testing.T, addr string) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Error(err)
		return
	}
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-A: ")
	if err != nil {
		t.Error(err)
		return
	}
	answer, err := io.ReadAll(conn) // returns when the node closes the connection
	if err != nil && !strings.Contains(err.Error(), "reset") {
		t.Error("the connection was still open:", err)
	}
	if strings.Contains(string(answer), "200 OK") {
		t.Error(string(answer))
	}
}
