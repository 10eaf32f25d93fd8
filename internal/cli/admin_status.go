package cli

import (
	"fmt"
	"net/url"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

type adminStatusCommand struct {
	adminOptions
	Revision setting.Count `long:"revision" env:"HICKORYBANK_REVISION" accept:"1..9223372036854775807" description:"the revision to ask for (the present one, if not given)"`
}

// Execute prints on how many nodes a revision is in force.
func (c *adminStatusCommand) Execute([]string) error {
	query := url.Values{}
	if c.Revision.Given() {
		query.Set("revision", fmt.Sprint(c.Revision.Get()))
	}
	return show(&c.adminOptions, "configuration/status", query, func(v *admin.Confirmation) error {
		return printLine(c.env, confirmationText(v))
	})
}

type adminChangesCommand struct {
	adminOptions
	Limit setting.Count `long:"limit" env:"HICKORYBANK_LIMIT" accept:"1..1000" default:"20" description:"how many"`
}

// Execute lists recent changes, newest first.
func (c *adminChangesCommand) Execute([]string) error {
	query := url.Values{"limit": {fmt.Sprint(c.Limit.Get())}}
	return show(&c.adminOptions, "changes", query, func(l *admin.ChangeList) error {
		t := newTable("REVISION", "AT", "OPERATOR", "PRESET", "CHANGE")
		for _, r := range l.Changes {
			t.add(r.Revision, r.At, r.Operator, r.Preset, r.Change)
		}
		return t.write(c.env.out)
	})
}

type adminChangeCommand struct {
	adminOptions
	Base setting.Count `long:"base" env:"HICKORYBANK_BASE" accept:"0..9223372036854775807" description:"revision that the change was made from"`
	Args struct {
		ID string `positional-arg-name:"ID" required:"true"`
	} `positional-args:"true"`
}

// Execute prints the state of a change: applied, not applied or undecided.
func (c *adminChangeCommand) Execute([]string) error {
	query := url.Values{}
	if c.Base.Given() {
		query.Set("base", fmt.Sprint(c.Base.Get()))
	}
	return show(&c.adminOptions, client.Path("changes", c.Args.ID), query, func(v *admin.ChangeStatus) error {
		return printLine(c.env, changeStateText(v))
	})
}

func changeStateText(v *admin.ChangeStatus) string {
	switch v.State {
	case admin.ChangeApplied:
		return fmt.Sprintf("applied as revision %d by %s; the present revision is %d", v.Record.Revision, v.Record.Operator, v.Present)
	case admin.ChangeNotApplied:
		return fmt.Sprintf("not applied, and never will be; the present revision is %d", v.Present)
	default:
		return fmt.Sprintf("not decided: it was not applied so far; the present revision is %d\nsend it again with the same id, or make another change: then it is decided", v.Present)
	}
}
