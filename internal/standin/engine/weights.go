package engine

import (
	"context"

	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

// weightStore downloads weights from the platform. Its zero value has no platform.
type weightStore struct{ client *platformclient.Client }

func newWeightStore(baseURL string) weightStore {
	if baseURL == "" {
		return weightStore{}
	}
	return weightStore{client: platformclient.New(baseURL)}
}

// instant reports whether versions load without a download.
func (w weightStore) instant() bool { return w.client == nil }

func (w weightStore) fetch(ctx context.Context, version string) error {
	_, err := w.client.FetchWeights(ctx, version)
	return err
}

func (w weightStore) close() {
	if w.client != nil {
		w.client.Close()
	}
}
