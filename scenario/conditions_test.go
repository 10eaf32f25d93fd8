package scenario

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

var errUsage = eris.New("wrong number of arguments")

// awaitServing: ENTRY [ORG MODEL]: the entry completes a chat request.
func awaitServing(c *cluster, args []string) error {
	o := call{org: "cartagena", model: "dues", text: "probe"}
	if len(args) == 0 {
		return errUsage
	}
	if len(args) == 3 {
		o.org, o.model = args[1], args[2]
	}
	if err := c.target(&o, args[0], o.org, noKey); err != nil {
		return err
	}
	r := c.callers.caller.do(o)
	if r.outcome != completed {
		return eris.New(r.String())
	}
	return r.answerErr
}

// awaitCallsOK: ENTRY ORG KEY MODEL TEXT...: a repetition of the chat request completes.
func awaitCallsOK(c *cluster, args []string) error {
	if len(args) < 5 {
		return errUsage
	}
	o := call{model: args[3], text: strings.Join(args[4:], " ")}
	if err := c.target(&o, args[0], args[1], args[2]); err != nil {
		return err
	}
	return c.repeatCall(o)
}

// awaitServicesOK: ENTRY ORG KEY METHOD PATH [BODY]: a repetition of the service call
// completes.
func awaitServicesOK(c *cluster, args []string) error {
	if len(args) < 5 {
		return errUsage
	}
	o := call{service: testService, method: args[3], path: args[4], body: strings.Join(args[5:], " ")}
	if err := c.target(&o, args[0], args[1], args[2]); err != nil {
		return err
	}
	return c.repeatCall(o)
}

func (c *cluster) repeatCall(o call) error {
	if err := c.callers.start(lastCall, o); err != nil {
		return err
	}
	r, err := c.callers.join(lastCall)
	if err != nil {
		return err
	}
	if r.outcome != completed {
		return eris.New(r.String())
	}
	return nil
}

// awaitOutcome: NAME OUTCOME...: a background call ended with one of the outcomes.
func awaitOutcome(c *cluster, args []string) error {
	if len(args) < 2 {
		return errUsage
	}
	r, err := c.callers.result(args[0])
	if err != nil {
		return err
	}
	for _, want := range args[1:] {
		if string(r.outcome) == want {
			return nil
		}
	}
	return eris.New(r.String())
}

// awaitPieces: NAME N: a streamed background call has received N pieces.
func awaitPieces(c *cluster, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	want, err := strconv.ParseInt(args[1], 10, 64)
	if err != nil {
		return err
	}
	if n := c.callers.lastPiece(args[0]); n < want {
		return eris.Errorf("%d pieces received, want %d", n, want)
	}
	return nil
}

// awaitEnded: ID [CODE]: the process has exited, with the given exit code.
func awaitEnded(c *cluster, args []string) error {
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	if p.running() {
		return eris.Errorf("%s is still running", p.id)
	}
	if len(args) > 1 && args[1] != exitText(p) {
		return eris.Errorf("%s exited with code %s:\n%s", p.id, exitText(p), p.tail())
	}
	return nil
}

// awaitLog: ID TEXT...: the process has logged the text.
func awaitLog(c *cluster, args []string) error {
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	text := strings.Join(args[1:], " ")
	if !bytes.Contains(p.output(), []byte(text)) {
		return eris.Errorf("%s has not logged %q:\n%s", p.id, text, p.tail())
	}
	return nil
}

// awaitAddresses: ENTRY ID...: the address list of the entry contains these entries.
func awaitAddresses(c *cluster, args []string) error { return c.checkAddresses(args, true) }

// awaitNoAddresses: ENTRY ID...: the address list of the entry contains none of these
// entries.
func awaitNoAddresses(c *cluster, args []string) error { return c.checkAddresses(args, false) }

// addressList is the answer of /v1/addresses.
type addressList struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}

func (c *cluster) checkAddresses(args []string, want bool) error {
	p, err := c.process(args[0])
	if err != nil {
		return err
	}
	list, err := fetchAddresses(p.addrs.Main)
	if err != nil {
		return err
	}
	for _, id := range args[1:] {
		other, err := c.process(id)
		if err != nil {
			return err
		}
		if contains(list.Addresses, other.addrs.Main) != want {
			return eris.Errorf("%s at %s: address list of %s is %v", id, other.addrs.Main, p.id, list.Addresses)
		}
	}
	return nil
}

func fetchAddresses(addr string) (addressList, error) {
	var list addressList
	resp, err := http.Get("http://" + addr + "/v1/addresses")
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return list, err
	}
	return list, eris.Wrapf(json.Unmarshal(data, &list), "addresses %q", data)
}
