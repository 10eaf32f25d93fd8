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

// part is something that is started and closed.
type part interface {
	Start() error
	Close(ctx context.Context) error
}

// Deployment is a whole deployment in one process.
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
	upstreams []part
}

// New returns a deployment that is not yet started.
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

// Start starts the platform, stores the configuration, and starts upstreams
// and entry nodes. When it fails, what was started is closed.
func (d *Deployment) Start() error {
	for _, step := range []func() error{d.startPlatform, d.bootstrap, d.startEngines, d.startServices, d.startEntries} {
		if err := step(); err != nil {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			_ = d.Close(ctx) // the first error counts
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

// Close stops the entry nodes gracefully, then the rest.
func (d *Deployment) Close(ctx context.Context) error {
	var err error
	d.closeEntries(ctx, &err)
	for _, u := range d.upstreams {
		note(&err, u.Close(ctx))
	}
	d.engines.Close()
	d.services.Close()
	if d.platform != nil {
		d.client.Close()
		note(&err, d.platform.Close(ctx))
	}
	return err
}

// closeEntries stops all at once: each waits until callers have heard of it.
func (d *Deployment) closeEntries(ctx context.Context, err *error) {
	errs := make([]error, len(d.entries))
	var all conc.WaitGroup
	for i, n := range d.entries {
		all.Go(func() { errs[i] = n.Close(ctx) })
	}
	all.Wait()
	for _, e := range errs {
		note(err, e)
	}
}

func note(first *error, err error) {
	if *first == nil {
		*first = err
	}
}

// portZero is the address with the port left to the machine.
func portZero(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr // listening will tell
	}
	return net.JoinHostPort(host, "0")
}
