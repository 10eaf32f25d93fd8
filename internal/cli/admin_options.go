package cli

import (
	"context"
	"net/url"

	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

// adminOptions are the flags of every command that asks a node's
// administration interface.
type adminOptions struct {
	env     *env
	URL     string           `long:"admin" env:"HICKORYBANK_ADMIN" accept:"url" needed:"yes" description:"base URL of a node's administration interface"`
	Key     string           `long:"operator-key" env:"HICKORYBANK_OPERATOR_KEY" accept:"text" needed:"yes" secret:"yes" default-mask:"-" description:"an operator's key"`
	JSON    bool             `long:"json" env:"HICKORYBANK_JSON" description:"print JSON for programs"`
	Timeout setting.Duration `long:"timeout" env:"HICKORYBANK_TIMEOUT" accept:"1s..1h" default:"1m" description:"how long to try"`
}

// session is one command's connection.
type session struct {
	client *client.Client
	ctx    context.Context
	cancel context.CancelFunc
}

func (o *adminOptions) open() *session {
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout.Get())
	return &session{client: client.New(o.URL, o.Key), ctx: ctx, cancel: cancel}
}

func (s *session) close() {
	s.cancel()
	s.client.Close()
}

// show reads a path and prints it, as JSON or by the function for people.
func show[T any](o *adminOptions, path string, query url.Values, people func(*T) error) error {
	s := o.open()
	defer s.close()
	v := new(T)
	if _, err := s.client.Get(s.ctx, path, query, v); err != nil {
		return err
	}
	if o.JSON {
		return writeJSON(o.env.out, v)
	}
	return people(v)
}
