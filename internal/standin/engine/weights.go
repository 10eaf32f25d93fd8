package engine

import (
	"context"

	platformclient "github.com/hickorybank/hickorybank/internal/platform/client"
)

// weightStore fetches weights from the platform, or takes them as given.
type weightStore struct{ client *platformclient.Client }

func newWeightStore(baseURL string) weightStore {
	if baseURL == "" {
		return weightStore{}
	}
	return weightStore{client: platformclient.New(baseURL)}
}

// instant reports that there is nothing to fetch.
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
