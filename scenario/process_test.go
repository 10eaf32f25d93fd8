package scenario

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// maxWait is how long a scenario waits for a condition. It is generous, so that a slow
// machine does not fail a scenario.
const maxWait = 30 * time.Second

// crashPatterns are the log texts of a data race or a crash. None may appear in a log.
var crashPatterns = [][]byte{[]byte("WARNING: DATA RACE"), []byte("panic: "), []byte("fatal error: ")}

// process is one process of the product.
type process struct {
	id    string
	cmd   *exec.Cmd
	stdin io.Closer
	log   string // path of the log file
	addrs addresses
	entry bool // an entry node, not a stand-in
	ended chan struct{}
}

// sessionKey sets the key that signs session tokens on every entry node of a scenario.
const sessionKey = "HICKORYBANK_SESSION_KEY=" +
	"6b6579206f66207363656e6172696f73206f6e6c79206b657920736365732e2e"

// startProcess starts the product and waits for its ready line.
func startProcess(dir, id string, args ...string) (*process, error) {
	p := &process{id: id, log: filepath.Join(dir, id+".log"), ended: make(chan struct{}), entry: args[0] == "entry"}
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Env = append(os.Environ(), guardVariable+"=1", sessionKey)
	p.cmd.Stderr = log
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	return p, p.awaitReady(out)
}

func (p *process) awaitReady(out io.Reader) error {
	lines := make(chan string, 1)
	go p.follow(out, lines)
	select {
	case line := <-lines:
		p.addrs = parseReady(line)
		return nil
	case <-p.ended:
		return eris.Errorf("%s exited before it was ready:\n%s", p.id, p.tail())
	case <-time.After(maxWait):
		return eris.Errorf("%s is not ready after %s:\n%s", p.id, maxWait, p.tail())
	}
}

// follow sends the ready line to lines, discards the rest of the output and reaps the
// process.
func (p *process) follow(out io.Reader, lines chan<- string) {
	scanner := bufio.NewScanner(out)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "ready ") {
			lines <- scanner.Text()
			break
		}
	}
	_, _ = io.Copy(io.Discard, out)
	_ = p.cmd.Wait()
	close(p.ended)
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.ended
	_ = p.stdin.Close()
}

func (p *process) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// upstream reports whether this is a stand-in upstream.
func (p *process) upstream() bool { return p.id != platformID && p.addrs.Faults != "" }

// exitCode returns the exit code of an exited process, or -1 if a signal ended it.
func (p *process) exitCode() int { return p.cmd.ProcessState.ExitCode() }

func (p *process) output() []byte {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return []byte(err.Error())
	}
	return data
}

func (p *process) tail() string {
	const maxBytes = 4000
	data := p.output()
	return string(data[max(0, len(data)-maxBytes):])
}

// crashError returns an error if the log shows a data race or a crash.
func (p *process) crashError() error {
	data := p.output()
	for _, mark := range crashPatterns {
		if i := bytes.Index(data, mark); i >= 0 {
			return eris.Errorf("%s: %s", p.id, data[i:min(len(data), i+3000)])
		}
	}
	return nil
}
