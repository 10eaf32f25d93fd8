package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Configs are the TLS settings of a node; nil ones mean plain TCP.
type Configs struct {
	// Callers is for the listeners towards callers and operators.
	Callers *tls.Config
	// PeerServer and PeerClient are for calls between entry nodes.
	PeerServer *tls.Config
	PeerClient *tls.Config
}

// Load reads the files and checks that they go together. The error names the
// file that is wrong.
func Load(f Files) (Configs, error) {
	if f == (Files{}) {
		return Configs{}, nil
	}
	if f.Certificate == "" || f.Key == "" {
		return Configs{}, eris.New("a certificate and its key are needed together")
	}
	own, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return Configs{}, eris.Wrapf(err, "certificate %s with key %s", f.Certificate, f.Key)
	}
	c := Configs{Callers: &tls.Config{Certificates: []tls.Certificate{own}, MinVersion: tls.VersionTLS12}}
	if f.PeerAuthority == "" {
		return c, nil
	}
	authority, err := loadAuthority(f.PeerAuthority)
	if err != nil {
		return Configs{}, err
	}
	c.PeerServer = &tls.Config{
		Certificates: []tls.Certificate{own}, MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authority,
	}
	c.PeerClient = &tls.Config{Certificates: []tls.Certificate{own}, MinVersion: tls.VersionTLS13, RootCAs: authority}
	return c, nil
}

func loadAuthority(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "peer authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.Errorf("peer authority %s: holds no certificate in PEM form", path)
	}
	return pool, nil
}
