package cli

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/config"
)

// kindArgs are the positional arguments that name an entry. Kinds are paths of the administration
// interface.
type kindArgs struct {
	Kind string `positional-arg-name:"KIND" required:"true"`
	Name string `positional-arg-name:"NAME" required:"true"`
}

type adminPutCommand struct {
	changeOptions
	Args struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		Name string `positional-arg-name:"NAME" required:"true"`
		File string `positional-arg-name:"FILE" required:"true"`
	} `positional-args:"true"`
}

// Execute creates or replaces an entry with the content of a JSON file.
func (c *adminPutCommand) Execute([]string) error {
	data, err := os.ReadFile(c.Args.File)
	if err != nil {
		return eris.Wrap(err, "read file")
	}
	if !json.Valid(data) {
		return eris.Errorf("%s is not JSON", c.Args.File)
	}
	return c.put(json.RawMessage(data), entryPath(c.Args.Kind, c.Args.Name)...)
}

type adminDeleteCommand struct {
	changeOptions
	Args kindArgs `positional-args:"true"`
}

// Execute removes an entry, unless another entry refers to it.
func (c *adminDeleteCommand) Execute([]string) error {
	return c.remove(entryPath(c.Args.Kind, c.Args.Name)...)
}

// entryPath returns the parts of an entry's path. A kind such as "models/dues/versions" has several.
func entryPath(kind, name string) []string { return append(strings.Split(kind, "/"), name) }

type adminWithdrawCommand struct {
	changeOptions
	Args struct {
		Version string `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"true"`
}

// Execute withdraws a version, so that it receives no new requests.
func (c *adminWithdrawCommand) Execute([]string) error {
	return c.post(nil, "versions", c.Args.Version, "withdraw")
}

type adminPresetCommand struct {
	changeOptions
	Args struct {
		Name string `positional-arg-name:"NAME"`
	} `positional-args:"true"`
}

// Execute shows or changes the preset in force.
func (c *adminPresetCommand) Execute([]string) error {
	if c.Args.Name != "" {
		return c.post(admin.PresetChoice{Name: c.Args.Name}, "preset")
	}
	return show(&c.adminOptions, "preset", nil, func(p *admin.PresetChoice) error {
		return printLine(c.env, p.Name)
	})
}

type adminRolloutCommand struct {
	changeOptions
	Share       setting.Number `long:"share" env:"HICKORYBANK_SHARE" accept:"0..1" description:"part of the model's requests, with staged"`
	ExposureCap setting.Count  `long:"exposure-cap" env:"HICKORYBANK_EXPOSURE_CAP" accept:"0..1000000" description:"answers before its ratings are in, with staged"`
	Args        struct {
		Version string `positional-arg-name:"VERSION"`
		State   string `positional-arg-name:"STATE"`
	} `positional-args:"true"`
}

// Execute shows the rollouts, or sets the state and share of one version.
func (c *adminRolloutCommand) Execute([]string) error {
	if c.Args.Version == "" {
		return c.list()
	}
	step := admin.RolloutStep{
		State: config.VersionState(c.Args.State), Share: c.Share.Get(), ExposureCap: c.ExposureCap.Get(),
	}
	return c.put(step, "versions", c.Args.Version, "rollout")
}

func (c *adminRolloutCommand) list() error {
	return show(&c.adminOptions, "rollouts", nil, func(l *admin.RolloutList) error {
		t := newTable("VERSION", "STAGE", "SHARE", "HOLDER", "SINCE", "DETAIL")
		for _, r := range l.Rollouts {
			t.add(r.Version, r.Stage, r.Share, r.Holder, r.Since, r.Detail)
		}
		return t.write(c.env.out)
	})
}

type adminTargetCommand struct {
	changeOptions
	Args struct {
		Organisation string  `positional-arg-name:"ORGANISATION" required:"true"`
		Class        string  `positional-arg-name:"CLASS" required:"true"`
		Quality      float64 `positional-arg-name:"QUALITY" required:"true"`
	} `positional-args:"true"`
}

// Execute sets an organisation's quality target for a class.
func (c *adminTargetCommand) Execute([]string) error {
	target := admin.QualityTarget{Quality: c.Args.Quality}
	return c.put(target, "organisations", c.Args.Organisation, "targets", c.Args.Class)
}

type adminLiftCommand struct {
	adminOptions
	Term setting.Count `long:"term" env:"HICKORYBANK_TERM" accept:"1..9223372036854775807" needed:"yes" description:"which hold of the version"`
	Args struct {
		Version string `positional-arg-name:"VERSION" required:"true"`
	} `positional-args:"true"`
}

// Execute lifts one hold of a version, identified by its term.
func (c *adminLiftCommand) Execute([]string) error {
	body, err := json.Marshal(admin.HoldTerm{Term: int64(c.Term.Get())})
	if err != nil {
		return err
	}
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.close()
	var lifted admin.HoldTerm
	if err := s.client.Post(s.ctx, client.Path("holds", c.Args.Version, "lift"), body, &lifted); err != nil {
		return err
	}
	return printLine(c.env, "lifted hold", lifted.Term, "of", c.Args.Version)
}
