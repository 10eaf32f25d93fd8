package cli

import (
	"encoding/hex"
	"fmt"
	"net"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"

	"github.com/hickorybank/hickorybank/internal/cli/setting"
	"github.com/hickorybank/hickorybank/internal/node"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	"github.com/hickorybank/hickorybank/internal/secure"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

const entryHelp = `Run an entry node: callers, peers and operators reach it by IP and port.

Example:
  export HICKORYBANK_SESSION_KEY=$(od -An -tx1 -N32 -v /dev/urandom | tr -d ' \n')
  hickorybank entry --id e1 --failure-domain manga --listen 127.0.0.1:8080 \
  --peer-listen 127.0.0.1:8081 --admin-listen 127.0.0.1:8082 \
  --operator-key-hash ana=$(printf %s KEY | sha256sum | cut -d' ' -f1) \
  --platform http://127.0.0.1:8070

It prints "ready entry IP:PORT peer IP:PORT admin IP:PORT". SIGTERM or SIGINT
stops it gracefully: it leaves the addresses, finishes what runs and ends.
All nodes of a deployment need the same session key.`

type entryCommand struct {
	logOptions
	env            *env
	ID             string           `long:"id" env:"HICKORYBANK_ID" accept:"name" needed:"yes" description:"this VM's name in the platform's list"`
	FailureDomain  string           `long:"failure-domain" env:"HICKORYBANK_FAILURE_DOMAIN" accept:"name" needed:"yes" description:"this VM's failure domain"`
	Platform       string           `long:"platform" env:"HICKORYBANK_PLATFORM" accept:"url" needed:"yes" description:"base URL of the platform"`
	Listen         string           `long:"listen" env:"HICKORYBANK_LISTEN" accept:"address" default:"127.0.0.1:8080" description:"IP and port for callers"`
	PeerListen     string           `long:"peer-listen" env:"HICKORYBANK_PEER_LISTEN" accept:"address" default:"127.0.0.1:0" description:"IP and port for other entry nodes"`
	AdminListen    string           `long:"admin-listen" env:"HICKORYBANK_ADMIN_LISTEN" accept:"address" description:"IP and port for operators; none, if not given"`
	OperatorKeys   []string         `long:"operator-key-hash" env:"HICKORYBANK_OPERATOR_KEY_HASH" env-delim:"," accept:"keyhash" secret:"yes" description:"[NAME=]SHA-256 sum of an operator's key (repeat)"`
	SessionKeys    []string         `long:"session-key" env:"HICKORYBANK_SESSION_KEY" env-delim:"," accept:"secret" needed:"yes" secret:"yes" default-mask:"-" description:"key of session tokens in hexadecimal, the same on every node; the first signs, all verify (repeat)"`
	Certificate    string           `long:"tls-certificate" env:"HICKORYBANK_TLS_CERTIFICATE" accept:"text" description:"PEM file: the node's certificate towards callers, operators and peers; plain TCP, if not given"`
	CertificateKey string           `long:"tls-key" env:"HICKORYBANK_TLS_KEY" accept:"text" description:"PEM file: the certificate's key"`
	PeerAuthority  string           `long:"tls-peer-authority" env:"HICKORYBANK_TLS_PEER_AUTHORITY" accept:"text" description:"PEM file: who signs entry nodes' certificates; without it they talk in the clear"`
	SourceIP       string           `long:"source-ip" env:"HICKORYBANK_SOURCE_IP" accept:"ip" description:"IP from which to call peers, upstreams and the platform; the system's choice, if not given"`
	Seeds          []string         `long:"seed-peer" env:"HICKORYBANK_SEED_PEER" env-delim:"," accept:"address" description:"peer IP and port to ask while the platform gives no list (repeat)"`
	AddressTTL     setting.Duration `long:"address-ttl" env:"HICKORYBANK_ADDRESS_TTL" accept:"100ms..1h" default:"5s" description:"how long callers may keep an answer of /v1/addresses"`
	StopTimeout    setting.Duration `long:"stop-timeout" env:"HICKORYBANK_STOP_TIMEOUT" accept:"1s..24h" default:"30m" description:"how long a stop may take; what runs then is cut off"`
	Memory         setting.Count    `long:"memory" env:"HICKORYBANK_MEMORY" accept:"64..1048576" default:"1024" description:"memory of the process in MiB, of which callers and peers may take fixed parts"`
	MaxDescriptors setting.Count    `long:"max-descriptors" env:"HICKORYBANK_MAX_DESCRIPTORS" accept:"300..1048576" default:"16384" description:"descriptors that the process may have, of which callers and peers may take fixed parts"`
	Register       bool             `long:"register" env:"HICKORYBANK_REGISTER" description:"tell a stand-in platform of this VM"`
}

// faults returns the faults that concern more than one setting.
func (c *entryCommand) faults() setting.Faults {
	if (c.AdminListen == "") == (len(c.OperatorKeys) == 0) {
		return nil
	}
	return setting.Faults{{
		Flag: "operator-key-hash", Variable: "HICKORYBANK_OPERATOR_KEY_HASH",
		Accepted: "at least one with --admin-listen, none without",
	}}
}

// memoryFraction is the fraction of the process's memory that is set as the runtime's soft memory limit.
const memoryFraction = 0.7

// Execute runs an entry node until SIGINT or SIGTERM.
func (c *entryCommand) Execute([]string) error {
	settings, err := c.settings()
	if err != nil {
		return err
	}
	log := c.logger(c.env)
	debug.SetMemoryLimit(int64(memoryFraction * float64(c.Memory.Get()) * (1 << 20)))
	source := net.ParseIP(c.SourceIP)
	client := platformclient.New(c.Platform, platformclient.WithSource(source))
	defer client.Close()
	links := node.NewLinks(upstreamclient.NewDirectDialer(upstreamclient.Options{Source: source}))
	n, err := node.New(settings, node.Deps{
		Platform: client,
		Engines:  upstreamclient.NewEngines(upstreamclient.Options{Dialer: links}),
		Services: upstreamclient.NewServices(upstreamclient.Options{Dialer: links}),
		Links:    links,
		Log:      log,
	})
	if err != nil {
		return err
	}
	ready := func() error {
		if c.Register {
			if err := register(client, n.VM()); err != nil {
				return err
			}
		}
		fmt.Fprintln(c.env.out, readyLine(n))
		return nil
	}
	return run(log, c.StopTimeout.Get(), ready, n)
}

// readyLine returns the line that reports the node's addresses, each after a word for its purpose.
func readyLine(n *node.Node) string {
	line := "ready entry " + n.Addr() + " peer " + n.VM().Peer
	if n.AdminAddr() != "" {
		line += " admin " + n.AdminAddr()
	}
	return line
}

func (c *entryCommand) settings() (node.Settings, error) {
	configs, err := secure.Load(secure.Files{Certificate: c.Certificate, Key: c.CertificateKey, PeerAuthority: c.PeerAuthority})
	if err != nil {
		return node.Settings{}, err
	}
	return node.Settings{
		ID: c.ID, FailureDomain: c.FailureDomain,
		Listen: c.Listen, PeerListen: c.PeerListen, AdminListen: c.AdminListen,
		OperatorKeyHashes: c.OperatorKeys, SessionKeys: decodeSecrets(c.SessionKeys),
		Source: net.ParseIP(c.SourceIP), Seeds: c.Seeds, AddressTTL: c.AddressTTL.Get(), Seed: seedFromID(c.ID),
		MemoryMB: c.Memory.Get(), MaxFDs: c.MaxDescriptors.Get(),
		TLS: configs,
	}, nil
}

// decodeSecrets decodes hexadecimal texts whose form has been checked.
func decodeSecrets(texts []string) [][]byte {
	keys := make([][]byte, 0, len(texts))
	for _, text := range texts {
		key, err := hex.DecodeString(text)
		if err != nil {
			panic(err) // cannot happen: the settings have been checked
		}
		keys = append(keys, key)
	}
	return keys
}

// seedFromID derives a node's random seed from its id. Ids differ between nodes, so seeds do too.
func seedFromID(id string) uint64 { return xxhash.Sum64String(id) }
