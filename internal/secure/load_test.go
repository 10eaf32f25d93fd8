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

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	a := &authority{key: key, dir: t.TempDir()}
	a.cert = template(1)
	a.cert.IsCA = true
	a.cert.BasicConstraintsValid = true
	a.cert.KeyUsage = x509.KeyUsageCertSign
	a.write(t, "ca.pem", a.cert, key)
	return a
}

func template(serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) write(t *testing.T, name string, cert *x509.Certificate, key *ecdsa.PrivateKey) string {
	t.Helper()
	is := is.New(t)
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, &key.PublicKey, a.key)
	is.NoErr(err)
	path := filepath.Join(a.dir, name)
	is.NoErr(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	return path
}

// issue returns the files of a node.
func (a *authority) issue(t *testing.T) Files {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	cert := a.write(t, "node.pem", template(2), key)
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

// A stranger on the network tells an entry node that a version is in force, or
// that a bill is kept. It connects to the peers' port in the clear, or with a
// certificate of its own. Only nodes that our authority signed may call.
func TestStrangersCannotCallPeers(t *testing.T) {
	is := is.New(t)
	ours, err := Load(newAuthority(t).issue(t))
	is.NoErr(err)
	theirs, err := Load(newAuthority(t).issue(t))
	is.NoErr(err)
	server := peer.NewSecureServer(ours.PeerServer)
	is.NoErr(server.Register("Echo", echo{}))
	is.NoErr(server.Start("127.0.0.1:0"))
	defer server.Close()
	cases := []struct {
		name string
		pool *peer.Pool
		ok   bool
	}{
		{"ours", peer.NewSecurePool(ours.PeerClient), true},
		{"in the clear", peer.NewPool(), false},
		{"another authority's", peer.NewSecurePool(theirs.PeerClient), false},
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

func TestLoadNamesTheWrongFile(t *testing.T) {
	files := newAuthority(t).issue(t)
	cases := []struct {
		name  string
		files Files
	}{
		{"key missing", Files{Certificate: files.Certificate}},
		{"authority alone", Files{PeerAuthority: files.PeerAuthority}},
		{"no such file", Files{Certificate: "none.pem", Key: files.Key}},
		{"authority is no certificate", Files{Certificate: files.Certificate, Key: files.Key, PeerAuthority: files.Key}},
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
