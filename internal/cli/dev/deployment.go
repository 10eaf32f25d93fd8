package dev

import (
	"context"
	"log/slog"
	"net"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"github.com/hickorybank/hickorybank/internal/admin"
	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/example"
	"github.com/hickorybank/hickorybank/internal/node"
	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
	standin "github.com/hickorybank/hickorybank/internal/standin/platform"
	"github.com/hickorybank/hickorybank/internal/standin/platform/memory"
	upstreamclient "github.com/hickorybank/hickorybank/internal/upstream/client"
)

// component is a server that is started and closed.
type component interface {
	Start() error
	Close(ctx context.Context) error
}

// Deployment is an example deployment that runs in this process.
type Deployment struct {
	settings Settings
	log      *slog.Logger
	topology example.Topology
	doc      *config.Document

	platform *standin.Server
	client   *platformclient.Client
	engines  *upstreamclient.Engines
	services *upstreamclient.Services
	entries  []*node.Node
	// upstreams are the started upstreams.
	upstreams []component
}

// New returns a deployment that is not started yet. It fails for an unknown example.
func New(s Settings, log *slog.Logger) (*Deployment, error) {
	topology, err := example.LoadTopology(s.Deployment)
	if err != nil {
		return nil, err
	}
	doc, err := example.Load(s.Deployment)
	if err != nil {
		return nil, err
	}
	if s.Entries == 0 {
		s.Entries = topology.Entries
	}
	return &Deployment{
		settings: s, log: log, topology: topology, doc: doc,
		engines:  upstreamclient.NewEngines(upstreamclient.Options{}),
		services: upstreamclient.NewServices(upstreamclient.Options{}),
	}, nil
}

// Start starts the platform, stores the configuration, and starts the upstreams and entry nodes. If
// a step fails, it closes everything that has been started.
func (d *Deployment) Start() error {
	for _, step := range []func() error{d.startPlatform, d.bootstrap, d.startEngines, d.startServices, d.startEntries} {
		if err := step(); err != nil {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			_ = d.Close(ctx) // the error of the step is returned
			return err
		}
	}
	return nil
}

func (d *Deployment) startPlatform() error {
	server, err := standin.New(standin.Settings{
		Listen: freePort, FaultListen: freePort,
		Settings: memory.Settings{
			WritesPerSecond: writesPerSecond, ReadsPerSecond: readsPerSecond,
			VMListLag: listLag, Seed: d.settings.Seed, RatingNoise: ratingNoise,
		},
	}, d.log)
	if err != nil {
		return err
	}
	if err := server.Start(); err != nil {
		return err
	}
	d.platform = server
	d.client = platformclient.New("http://" + server.Addr())
	return nil
}

func (d *Deployment) bootstrap() error {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	_, applied, err := admin.NewStore(d.client).Put(ctx, 0, d.doc, uuid.NewString())
	if err == nil && !applied {
		err = eris.New("the stand-in platform already has a configuration")
	}
	return err
}

// Close stops the entry nodes gracefully, then the upstreams and the platform. It returns the first
// error.
func (d *Deployment) Close(ctx context.Context) error {
	var err error
	d.closeEntries(ctx, &err)
	for _, u := range d.upstreams {
		keepFirst(&err, u.Close(ctx))
	}
	d.engines.Close()
	d.services.Close()
	if d.platform != nil {
		d.client.Close()
		keepFirst(&err, d.platform.Close(ctx))
	}
	return err
}

// closeEntries stops the entry nodes concurrently, since each waits until callers' lists of
// addresses have expired.
func (d *Deployment) closeEntries(ctx context.Context, err *error) {
	errs := make([]error, len(d.entries))
	var wg conc.WaitGroup
	for i, n := range d.entries {
		wg.Go(func() { errs[i] = n.Close(ctx) })
	}
	wg.Wait()
	for _, e := range errs {
		keepFirst(err, e)
	}
}

func keepFirst(first *error, err error) {
	if *first == nil {
		*first = err
	}
}

// withFreePort returns the address with port 0, so that the system assigns a free port.
func withFreePort(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr // listening on it fails with the reason
	}
	return net.JoinHostPort(host, "0")
}
