package cli

import (
	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/admin/client"
)

type adminCrashesCommand struct{ adminOptions }

// Execute lists what is held because upstreams crashed under it.
func (c *adminCrashesCommand) Execute([]string) error {
	return show(&c.adminOptions, "crashes", nil, func(l *admin.CrashList) error {
		t := newTable("KEY", "OF", "STATE", "CRASHES", "CLEARED", "TRIALS")
		for _, h := range l.Crashes {
			t.add(h.Key, h.Of, h.State, h.Crashes, h.Cleared, h.Trials)
		}
		return t.write(c.env.out)
	})
}

type adminPardonCommand struct {
	adminOptions
	Args struct {
		Key string `positional-arg-name:"KEY" required:"true"`
	} `positional-args:"true"`
}

// Execute clears the crashes of a key.
func (c *adminPardonCommand) Execute([]string) error {
	s, err := c.open()
	if err != nil {
		return err
	}
	defer s.close()
	var pardoned admin.CrashPardon
	if err := s.client.Post(s.ctx, client.Path("crashes", c.Args.Key, "pardon"), nil, &pardoned); err != nil {
		return err
	}
	return printLine(c.env, "pardoned", pardoned.Key)
}
