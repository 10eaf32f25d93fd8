package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// fetchTimeout bounds the request for addresses to one entry node.
const fetchTimeout = 2 * time.Second

// directory keeps an AddressCache up to date with answers of the entry nodes.
type directory struct {
	http  *http.Client
	seeds []string
	clock Clock

	mu    sync.Mutex
	cache AddressCache
	// fetches counts the address lists fetched.
	fetches int
}

type addressResponse struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}

// pick returns an address. It fetches a new list first if the last one has expired.
func (d *directory) pick(ctx context.Context) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr, ok := d.cache.Pick(d.clock()); ok {
		return addr, nil
	}
	if err := d.refresh(ctx); err != nil {
		return "", err
	}
	addr, ok := d.cache.Pick(d.clock())
	if !ok {
		return "", eris.New("no entry address is offered")
	}
	return addr, nil
}

// drop removes an address that could not be connected to.
func (d *directory) drop(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cache.Drop(addr)
}

// refreshLoop fetches a new list before the last one expires, so that few requests wait
// for it.
func (d *directory) refreshLoop(ctx context.Context) {
	for {
		d.mu.Lock()
		wait := d.cache.RefreshAt() - d.clock()
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(wait, 10*time.Millisecond)):
		}
		d.mu.Lock()
		_ = d.refresh(ctx) // the next request fetches again
		d.mu.Unlock()
	}
}

// refresh fetches a list from the known addresses, then from the seeds, until one
// answers. The caller holds the lock.
func (d *directory) refresh(ctx context.Context) error {
	var lastErr error
	for _, addr := range append(append([]string(nil), d.cache.addresses...), d.seeds...) {
		answer, err := d.fetch(ctx, addr)
		if err == nil {
			d.fetches++
			d.cache.Set(answer.Addresses, time.Duration(answer.TTLMillis)*time.Millisecond, d.clock())
			return nil
		}
		lastErr = err
	}
	return eris.Wrap(lastErr, "no entry node answers")
}

func (d *directory) fetch(ctx context.Context, addr string) (addressResponse, error) {
	var answer addressResponse
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/addresses", nil)
	if err != nil {
		return answer, err
	}
	resp, err := d.http.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return answer, eris.Errorf("addresses: %s", resp.Status)
	}
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}
