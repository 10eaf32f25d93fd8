package admin

import (
	"context"
	"log/slog"
	"net/http"

	"github.com/hickorybank/hickorybank/internal/event"
)

// CrashManager lists and pardons what a node refuses because upstreams crashed under it.
type CrashManager interface {
	HeldCrashes(ctx context.Context) ([]HeldCrash, error)
	// Pardon clears the crashes that count against a key, at all nodes. It returns false if none do.
	Pardon(ctx context.Context, key string) (bool, error)
}

// HeldCrash is a request, or a message that chats share, under which upstreams crashed.
type HeldCrash struct {
	Key string `json:"key"`
	// Of is request or message.
	Of string `json:"of"`
	// State is convicted (refused), suspected (runs alone) or quarantined (runs one at a time).
	State string `json:"state"`
	// Crashes count against the key; those in Cleared count no longer.
	Crashes int `json:"crashes"`
	Cleared int `json:"cleared"`
	// Trials are the requests that were let through since the conviction.
	Trials int `json:"trials"`
}

// CrashList is the answer with what is held for crashes.
type CrashList struct {
	Crashes []HeldCrash `json:"crashes"`
}

// CrashPardon is the answer to a pardon.
type CrashPardon struct {
	Key string `json:"key"`
}

func (s *Server) crashRoutes() {
	s.handle(http.MethodGet, "/admin/v1/crashes", s.getCrashes)
	s.handle(http.MethodPost, "/admin/v1/crashes/:key/pardon", s.pardon)
}

func (s *Server) getCrashes(in *request) (any, *Failure) {
	if s.deps.Crashes == nil {
		return nil, notOffered("crashes")
	}
	list, failure := readList(in, "crashes", s.deps.Crashes.HeldCrashes)
	return CrashList{Crashes: list}, failure
}

func (s *Server) pardon(in *request) (any, *Failure) {
	if s.deps.Crashes == nil {
		return nil, notOffered("crashes")
	}
	key := in.params.ByName("key")
	ctx, cancel := withRequestTimeout(in)
	defer cancel()
	pardoned, err := s.deps.Crashes.Pardon(ctx, key)
	if err != nil {
		return nil, badRequest("%v", err)
	}
	if !pardoned {
		return nil, notFound("nothing counts against key %q", key)
	}
	event.CrashesPardoned.Log(s.deps.Log, slog.String("operator", in.operator), slog.String("key", key))
	return CrashPardon{Key: key}, nil
}
