package client

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/platform"
)

// Fails if one odd entry of the VM list hides the others.
func TestOddVMIsUnreadableByItself(t *testing.T) {
	const levels = 200_000
	nested := strings.Repeat("[", levels) + strings.Repeat("]", levels)
	for kind, odd := range map[string]string{
		"number as state":      `{"id":"odd","state":1e400}`,
		"list as address":      `{"id":"odd","addr":["10.0.0.1:80"]}`,
		"nested address":       `{"id":"odd","addr":` + nested + `}`,
		"nested unknown field": `{"id":"odd","later":` + nested + `}`,
		"nested entry":         nested,
		"number":               strings.Repeat("9", levels),
		"text":                 `"odd"`,
	} {
		t.Run(kind, func(t *testing.T) {
			is := is.New(t)
			body := `{"vms":[{"id":"a","addr":"10.0.0.1:80"},` + odd + `,{"id":"b","addr":"10.0.0.2:80"}]}`
			client := New(newFakePlatform(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))).url())
			defer client.Close()
			read, err := client.VMs().(platform.ConditionalVMs).ListIfChanged(t.Context(), "")
			is.NoErr(err)
			is.Equal(read.VMs, []platform.VM{{ID: "a", Addr: "10.0.0.1:80"}, {ID: "b", Addr: "10.0.0.2:80"}})
			is.Equal(len(read.Unreadable), 1)
		})
	}
}

// Fails if a response that is no VM list counts as an empty one.
func TestResponseThatIsNoVMListIsAnError(t *testing.T) {
	for _, body := range []string{`hello`, `[]`, `{"vms":{}}`, `{"vms":[{"id":"a"}`, `{"vms":[{"id":"a"},]}`, `{"vms":7}`} {
		is := is.New(t)
		client := New(newFakePlatform(t, respondWith(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))).url())
		_, err := client.VMs().List(t.Context())
		client.Close()
		is.True(err != nil) // body
	}
}
