package cli

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"

	"github.com/rotisserie/eris"

	"github.com/hickorybank/hickorybank/internal/admin/client"
	"github.com/hickorybank/hickorybank/internal/cli/setting"
)

// adminOptions are the flags of every command that calls a node's administration interface.
type adminOptions struct {
	env     *env
	URL     string           `long:"admin" env:"HICKORYBANK_ADMIN" accept:"url" needed:"yes" description:"base URL of a node's administration interface"`
	Key     string           `long:"operator-key" env:"HICKORYBANK_OPERATOR_KEY" accept:"text" needed:"yes" secret:"yes" default-mask:"-" description:"an operator's key"`
	Trust   string           `long:"tls-authority" env:"HICKORYBANK_TLS_AUTHORITY" accept:"text" description:"PEM file: who signs the nodes' certificates (the machine's authorities, if not given)"`
	JSON    bool             `long:"json" env:"HICKORYBANK_JSON" description:"print JSON for programs"`
	Timeout setting.Duration `long:"timeout" env:"HICKORYBANK_TIMEOUT" accept:"1s..1h" default:"1m" description:"how long to try"`
}

// session is the API client of one command, with the context that limits its time.
type session struct {
	client *client.Client
	ctx    context.Context
	cancel context.CancelFunc
}

func (o *adminOptions) open() (*session, error) {
	secure, err := trustFile(o.Trust)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), o.Timeout.Get())
	return &session{client: client.NewWithTLS(o.URL, o.Key, secure), ctx: ctx, cancel: cancel}, nil
}

// trustFile returns a TLS configuration with the certificate authorities of a PEM file, or nil (the
// system's authorities) without a file.
func trustFile(file string) (*tls.Config, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "TLS authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("TLS authority %s: holds no certificate in PEM form", file)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

func (s *session) close() {
	s.cancel()
	s.client.Close()
}

// show reads a path of the API and prints the result, as JSON or with printText.
func show[T any](o *adminOptions, path string, query url.Values, printText func(*T) error) error {
	s, err := o.open()
	if err != nil {
		return err
	}
	defer s.close()
	v := new(T)
	if _, err := s.client.Get(s.ctx, path, query, v); err != nil {
		return err
	}
	if o.JSON {
		return writeJSON(o.env.out, v)
	}
	return printText(v)
}
