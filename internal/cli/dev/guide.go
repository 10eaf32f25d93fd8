package dev

import (
	"fmt"
	"io"

	"github.com/hickorybank/hickorybank/internal/example"
)

// BaseURL is where callers reach the first entry node.
func (d *Deployment) BaseURL() string { return "http://" + d.entries[0].Addr() }

// AdminURL is where operators reach it.
func (d *Deployment) AdminURL() string { return "http://" + d.entries[0].AdminAddr() }

// PlatformURL is where the stand-in platform is reached, and FaultsURL its
// fault port.
func (d *Deployment) PlatformURL() string { return "http://" + d.platform.Addr() }

// FaultsURL is the fault port of the stand-in platform.
func (d *Deployment) FaultsURL() string { return "http://" + d.platform.FaultAddr() }

// Curl is a command that works when it is pasted into a shell.
func (d *Deployment) Curl() string {
	class := d.doc.Classes[0].Name
	key := example.DemoKey(d.doc.Organisations[0].Name)
	return fmt.Sprintf(`curl -s %s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{"model":"%s","messages":[{"role":"user","content":"Hello."}]}'`, d.BaseURL(), key, class)
}

// Guide prints the ready line and what a newcomer needs next.
func (d *Deployment) Guide(w io.Writer) {
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
