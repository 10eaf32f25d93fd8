package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/standin/engine"
	"github.com/hickorybank/hickorybank/internal/suspect"
)

// crashCount returns how many engines have crashed so far.
func (f *fleet) crashCount() (count int) {
	for _, e := range f.engines {
		count += e.Counts().Crashes
	}
	return count
}

// restartAll replaces all nodes by new ones without state.
func (f *fleet) restartAll(size fleetSize) {
	f.closeNodes()
	f.nodes = nil
	for i := range size.nodes {
		f.addNode(i, nil)
	}
	for _, n := range f.nodes {
		f.await("node serves", func() bool { return len(n.notReady()) == 0 && f.knows(n, size) })
	}
}

// Fails if a chat, or a message that chats share, crashes engines again after all nodes were lost.
func TestCrashingChatIsRefusedAfterLossOfAllNodes(t *testing.T) {
	for _, c := range []struct {
		name string
		// body returns the k-th chat.
		body func(k int) string
		// trials is the number of crashes that may follow: two convict a chat, and a message gets trials.
		trials int
	}{
		{"one chat", func(int) string { return chatOf("first", badMessage) }, 0},
		{"chats with one message", func(k int) string { return chatOf("first", badMessage, fmt.Sprint("own", k)) }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			size := fleetSize{nodes: 3, engines: 8, tokens: 2, tokenGap: time.Millisecond, firstToken: 20 * time.Millisecond}
			f := newFleet(t, size)
			for _, e := range f.engines {
				is.NoErr(e.ChangeFaults(func(faults *engine.Faults) error {
					faults.CrashMarker, faults.RestartMillis = badMessage, 500
					return nil
				}))
			}
			next := 0
			send := func() string {
				next++
				r, err := f.post(f.nodes[next%size.nodes], callerRequest{
					path: "/v1/chat/completions", key: fmt.Sprint("k", next), body: c.body(next), header: map[string]string{"Hickorybank-Timeout-Ms": "3000"},
				})
				is.NoErr(err)
				return r.body
			}
			crashes := -1
			f.await("chat is refused", func() bool {
				before := f.crashCount()
				send()
				time.Sleep(300 * time.Millisecond) // until all nodes know
				crashes = f.crashCount()
				return crashes > 1 && crashes == before
			})
			f.restartAll(size)
			for range 2 * size.nodes {
				send()
			}
			after := f.crashCount() - crashes
			t.Logf("%d crashes before all nodes were lost, %d after", crashes, after)
			is.True(after <= c.trials)
			for _, e := range f.engines {
				is.NoErr(e.ChangeFaults(func(faults *engine.Faults) error { faults.CrashMarker = ""; return nil }))
			}
			o := &operators{node: f.nodes[0]}
			held, err := o.HeldCrashes(t.Context())
			is.NoErr(err)
			is.True(len(held) > 0)
			for _, h := range held {
				_, err := o.Pardon(t.Context(), h.Key)
				is.NoErr(err)
			}
			f.await("pardoned chat is served at all nodes", func() bool {
				for range size.nodes {
					if !strings.Contains(send(), "choices") {
						return false
					}
				}
				return true
			})
			sound, err := f.post(f.nodes[0], callerRequest{path: "/v1/chat/completions", key: "sound", body: chatOf("first", "sound")})
			is.NoErr(err)
			is.Equal(sound.status, http.StatusOK)
		})
	}
}

// Fails if a row of another writer stops a node, or if suspects change on their way through a row.
func TestCrashRows(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	life := suspect.CrashID{Upstream: "u", Epoch: 7}
	r := suspect.Record{Fingerprint: [16]byte{1, 2}, Crashes: []suspect.CrashID{life}, Cleared: []suspect.CrashID{life}, Left: time.Hour, Since: time.Minute}
	row := newSuspectRow(&r, now)
	back, ok := row.record(now)
	is.True(ok)
	is.Equal(back, r)
	is.True(sameSuspects([]suspectRow{row}, []suspectRow{row}))
	is.True(!sameSuspects([]suspectRow{row}, nil))
	other := row
	other.Cleared = nil
	is.True(!sameSuspects([]suspectRow{row}, []suspectRow{other}))
	for _, fingerprint := range []string{"", "zz", "0102", "01020000000000000000000000000000ff"} {
		other.Fingerprint = fingerprint
		_, ok = other.record(now)
		is.True(!ok)
	}
	for _, data := range []string{"{", `{"parts":3}`, `{"suspects":{}}`, `{"parts":{"keys":[{"trials":-1}]}}`} {
		_, err := decodeCrashRow([]byte(data))
		is.True(err != nil)
	}
	_, err := decodeCrashRow(nil)
	is.NoErr(err)
}
