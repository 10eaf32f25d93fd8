package secure

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/peer"
)

// testAuthority is a certificate authority for tests. It writes its files into dir.
type testAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newTestAuthority(t *testing.T) *testAuthority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	a := &testAuthority{key: key, dir: t.TempDir()}
	a.cert = newCertificateTemplate(1)
	a.cert.IsCA = true
	a.cert.BasicConstraintsValid = true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	a.write(t, "ca.pem", a.cert, key)
	return a
}

func newCertificateTemplate(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *testAuthority) write(t *testing.T, name string, cert *x509.Certificate, key *ecdsa.PrivateKey) string {
	t.Helper()
	is := is.New(t)
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	path := filepath.Join(a.dir, name)
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	return path
}

// issue makes a certificate with a key for a node and returns their files.
func (a *testAuthority) issue(t *testing.T) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	cert := a.write(t, "node.pem", newCertificateTemplate(2), key)
	der, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	path := filepath.Join(a.dir, "node.key")
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: der}), 0o600))
	return Files{Certificate: cert, Key: path, PeerAuthority: filepath.Join(a.dir, "ca.pem")}
}

type echo struct{}

func (echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Another process on the network may call the peer port of an entry node, without TLS or
// with a certificate of another authority. It could report a version as active or a bill
// as stored. Only certificates of the peer authority pass.
func TestPeerServerRejectsUntrustedClients(t *testing.T) {
	is := is.New(t)
	trusted, err := Load(newTestAuthority(t).issue(t))
	is.NoErr(err)
	untrusted, err := Load(newTestAuthority(t).issue(t))
	is.NoErr(err)
	server := peer.NewSecureServer(trusted.PeerServer)
	is.NoErr(server.Register("Echo", echo{}))
	is.NoErr(server.Start("127.0.0.1:0"))
	defer server.Close()
	cases := []struct {
		name string
		pool *peer.Pool
		ok   bool
	}{
		{"certificate of the peer authority", peer.NewSecurePool(trusted.PeerClient), true},
		{"without TLS", peer.NewPool(), false},
		{"certificate of another authority", peer.NewSecurePool(untrusted.PeerClient), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			defer c.pool.Close()
			var reply string
			err := c.pool.Call(context.Background(), server.Addr(), "Echo.Say", "hello", &reply)
			is.Equal(err == nil, c.ok)
			is.Equal(reply == "hello", c.ok)
		})
	}
}

// A node must not start with incomplete TLS files, or without TLS although files are set.
func TestLoadRejectsIncompleteFiles(t *testing.T) {
	files := newTestAuthority(t).issue(t)
	cases := []struct {
		name  string
		files Files
	}{
		{"key missing", Files{Certificate: files.Certificate}},
		{"peer authority only", Files{PeerAuthority: files.PeerAuthority}},
		{"no such file", Files{Certificate: "none.pem", Key: files.Key}},
		{"peer authority is not a certificate", Files{Certificate: files.Certificate, Key: files.Key, PeerAuthority: files.Key}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(c.files)
			is.New(t).True(err != nil)
		})
	}
	_, err := Load(Files{})
	is.New(t).True(!errors.Is(err, os.ErrNotExist) && err == nil) // plain TCP
}
