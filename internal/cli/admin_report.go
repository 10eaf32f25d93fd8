package cli

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
)

const statusPollInterval = 200 * time.Millisecond

// report prints an accepted change. With --wait it first waits until the change is in force on all
// nodes, and returns an error if it is not in time.
func (o *changeOptions) report(s *session, a admin.Acceptance) error {
	var notInForce error
	if o.Wait.Get() > 0 {
		notInForce = o.awaitInForce(s, &a)
	}
	if o.JSON {
		if err := writeJSON(o.env.out, a); err != nil {
			return err
		}
		return notInForce
	}
	replayed := ""
	if a.Replayed {
		replayed = "; it had been accepted before"
	}
	fmt.Fprintf(o.env.out, "accepted revision %d (change %s)%s\n", a.Revision, a.Change, replayed)
	o.printChange(a.Differences, a.Warnings)
	fmt.Fprintln(o.env.out, confirmationText(a.InForce))
	return notInForce
}

func (o *changeOptions) printChange(differences []config.Difference, warnings []config.Fault) {
	for _, d := range differences {
		fmt.Fprintln(o.env.out, " ", d)
	}
	for _, w := range warnings {
		fmt.Fprintln(o.env.out, "  warning:", w.Field+":", w.Reason)
	}
}

// awaitInForce polls the status until the revision is in force. It stores the last answer in a.
func (o *changeOptions) awaitInForce(s *session, a *admin.Acceptance) error {
	end := time.Now().Add(o.Wait.Get())
	query := url.Values{"revision": {strconv.FormatUint(a.Revision, 10)}}
	for {
		c := new(admin.Confirmation)
		if _, err := s.client.Get(s.ctx, "configuration/status", query, c); err == nil {
			a.InForce = c
		}
		if c.InForce {
			return nil
		}
		if time.Now().After(end) || !sleep(s.ctx, statusPollInterval) {
			return eris.Errorf("revision %d is accepted, and not known to be in force everywhere after %s", a.Revision, o.Wait.Get())
		}
	}
}

func confirmationText(c *admin.Confirmation) string {
	switch {
	case c == nil:
		return "how far it is in force is not known yet; ask with: hickorybank admin status"
	case c.InForce:
		return fmt.Sprintf("revision %d is in force on every node (%d of %d confirmed)", c.Revision, c.Have, c.Members)
	}
	text := fmt.Sprintf("revision %d is in force on %d of %d nodes", c.Revision, c.Have, c.Members)
	if len(c.Lagging) > 0 {
		text += "; not yet on " + strings.Join(c.Lagging, ", ")
	}
	if c.LaggingMore > 0 {
		text += fmt.Sprintf(" and %d more", c.LaggingMore)
	}
	return text
}
