package dev

import (
	"fmt"
	"io"

	"github.com/hickorybank/hickorybank/internal/example"
)

// BaseURL returns the URL of the first entry node for callers.
func (d *Deployment) BaseURL() string { return "http://" + d.entries[0].Addr() }

// AdminURL returns the URL of the first entry node's administration interface.
func (d *Deployment) AdminURL() string { return "http://" + d.entries[0].AdminAddr() }

// PlatformURL returns the URL of the stand-in platform.
func (d *Deployment) PlatformURL() string { return "http://" + d.platform.Addr() }

// FaultsURL returns the URL of the stand-in platform's fault interface.
func (d *Deployment) FaultsURL() string { return "http://" + d.platform.FaultAddr() }

// Curl returns a shell command that sends a chat request to the first entry node.
func (d *Deployment) Curl() string {
	class := d.doc.Classes[0].Name
	key := example.DemoKey(d.doc.Organisations[0].Name)
	return fmt.Sprintf(`curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","messages":[{"role":"user","content":"Hello."}]}'`, d.BaseURL(), key, class)
}

// PrintGuide prints the ready line, the URLs and keys, and example commands.
func (d *Deployment) PrintGuide(w io.Writer) {
	fmt.Fprintf(w, "ready dev %s admin %s\n\n", d.entries[0].Addr(), d.entries[0].AdminAddr())
	fmt.Fprintf(w, "deployment    %s in %s: %d entry nodes, %d engines, %d service runners in %d failure domains\n",
		d.settings.Deployment, d.topology.Region, len(d.entries), d.topology.Engines, d.topology.Services, len(d.topology.FailureDomains))
	fmt.Fprintf(w, "base URL      %s/v1\n", d.BaseURL())
	fmt.Fprintf(w, "platform      %s, its faults %s\n", d.PlatformURL(), d.FaultsURL())
	fmt.Fprint(w, "demo keys    ")
	for _, o := range d.doc.Organisations {
		fmt.Fprint(w, " ", example.DemoKey(o.Name))
	}
	fmt.Fprintf(w, "\noperator key  %s\n", example.OperatorKey)
	fmt.Fprintf(w, "\nsend a request:\n  %s\n", d.Curl())
	fmt.Fprintf(w, "\noperate it:\n  export HICKORYBANK_ADMIN=%s HICKORYBANK_OPERATOR_KEY=%s\n  hickorybank admin nodes\n", d.AdminURL(), example.OperatorKey)
	fmt.Fprint(w, "\nCtrl-C stops it.\n")
}
