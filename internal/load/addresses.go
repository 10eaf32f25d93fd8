package load

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const askTimeout = 2 * time.Second

// directory keeps a Book up to date by asking the entry nodes.
type directory struct {
	http  *http.Client
	seeds []string
	clock Clock

	mu   sync.Mutex
	book Book
	// asks is how many answers were fetched.
	asks int
}

type addressAnswer struct {
	Addresses []string `json:"addresses"`
	TTLMillis int64    `json:"ttl_ms"`
}

// pick returns an address, asking first when the last answer has run out.
func (d *directory) pick(ctx context.Context) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if addr, ok := d.book.Pick(d.clock()); ok {
		return addr, nil
	}
	if err := d.ask(ctx); err != nil {
		return "", err
	}
	addr, ok := d.book.Pick(d.clock())
	if !ok {
		return "", eris.New("no entry address is offered")
	}
	return addr, nil
}

func (d *directory) drop(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Drop(addr)
}

// keepFresh asks ahead of each answer's end, so that few requests wait for it.
func (d *directory) keepFresh(ctx context.Context) {
	for {
		d.mu.Lock()
		wait := d.book.AskAt() - d.clock()
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(wait, 10*time.Millisecond)):
		}
		d.mu.Lock()
		_ = d.ask(ctx) // the next request asks again
		d.mu.Unlock()
	}
}

// ask tries the known addresses, then the first ones.
func (d *directory) ask(ctx context.Context) error {
	var last error
	for _, addr := range append(append([]string(nil), d.book.addresses...), d.seeds...) {
		answer, err := d.fetch(ctx, addr)
		if err == nil {
			d.asks++
			d.book.Set(answer.Addresses, time.Duration(answer.TTLMillis)*time.Millisecond, d.clock())
			return nil
		}
		last = err
	}
	return eris.Wrap(last, "no entry node answers")
}

func (d *directory) fetch(ctx context.Context, addr string) (addressAnswer, error) {
	var answer addressAnswer
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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
