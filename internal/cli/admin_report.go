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

const waitPause = 200 * time.Millisecond

// report prints an accepted change, after waiting for it to be in force if that
// was asked for.
func (o *changeOptions) report(s *session, a admin.Acceptance) error {
	var late error
	if o.Wait.Get() > 0 {
		late = o.await(s, &a)
	}
	if o.JSON {
		if err := writeJSON(o.env.out, a); err != nil {
			return err
		}
		return late
	}
	again := ""
	if a.Replayed {
		again = "; it had been accepted before"
	}
	fmt.Fprintf(o.env.out, "accepted revision %d (change %s)%s\n", a.Revision, a.Change, again)
	o.printChange(a.Differences, a.Warnings)
	fmt.Fprintln(o.env.out, inForce(a.InForce))
	return late
}

func (o *changeOptions) printChange(differences []config.Difference, warnings []config.Fault) {
	for _, d := range differences {
		fmt.Fprintln(o.env.out, " ", d)
	}
	for _, w := range warnings {
		fmt.Fprintln(o.env.out, "  warning:", w.Field+":", w.Reason)
	}
}

// await asks until the revision is in force; the last answer stands in a.
func (o *changeOptions) await(s *session, a *admin.Acceptance) error {
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
		if time.Now().After(end) || !sleep(s.ctx, waitPause) {
			return eris.Errorf("revision %d is accepted, and not known to be in force everywhere after %s", a.Revision, o.Wait.Get())
		}
	}
}

func inForce(c *admin.Confirmation) string {
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
