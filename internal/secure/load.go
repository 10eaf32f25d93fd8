package secure

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Configs holds the TLS configurations of a node. A nil one means plain TCP.
type Configs struct {
	// Callers is for the listeners for callers and operators.
	Callers *tls.Config
	// PeerServer is for the listener for other entry nodes. It requires a client
	// certificate signed by the peer authority.
	PeerServer *tls.Config
	// PeerClient is for connections to other entry nodes.
	PeerClient *tls.Config
}

// Load reads the files and checks that the key belongs to the certificate. The error
// names the file that is missing or invalid.
func Load(f Files) (Configs, error) {
	if f == (Files{}) {
		return Configs{}, nil
	}
	if f.Certificate == "" || f.Key == "" {
		return Configs{}, eris.New("a certificate and its key are needed together")
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return Configs{}, eris.Wrapf(err, "certificate %s with key %s", f.Certificate, f.Key)
	}
	c := Configs{Callers: &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}}
	if f.PeerAuthority == "" {
		return c, nil
	}
	authorityPool, err := loadAuthorityPool(f.PeerAuthority)
	if err != nil {
		return Configs{}, err
	}
	c.PeerServer = &tls.Config{
		Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorityPool,
	}
	c.PeerClient = &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13, RootCAs: authorityPool}
	return c, nil
}

// loadAuthorityPool reads the CA certificates of a PEM file.
func loadAuthorityPool(path string) (*x509.CertPool, error) {
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
