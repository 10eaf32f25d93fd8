package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"

	"github.com/hickorybank/hickorybank/internal/crashguard"
	"github.com/hickorybank/hickorybank/internal/revision"
)

// crashTable is a table with a route and a record of crashes.
type crashTable struct {
	oneRoute
	mu  sync.Mutex
	row CrashRow
	// delay is how long a reading of the record takes, failures how many fail next.
	delay    time.Duration
	failures atomic.Int32
	// conflicts is how many writes come after another one next.
	conflicts       int
	reads, attempts int
}

var errAway = errors.New("table is away")

func (s *crashTable) Orders(context.Context, revision.Revision, time.Duration) (OrdersChange, error) {
	return OrdersChange{Complete: true, Config: []byte(`{}`), Revision: 7}, nil
}

func (s *crashTable) LoadCrashes(ctx context.Context) (CrashRow, error) {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	if s.failures.Add(-1) >= 0 {
		return CrashRow{}, errAway
	}
	if !pause(ctx, s.delay) {
		return CrashRow{}, ctx.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.row, nil
}

func (s *crashTable) SaveCrashes(_ context.Context, data []byte, at revision.Revision) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts++
	if s.conflicts--; s.conflicts >= 0 || at != s.row.Revision {
		return false, nil
	}
	s.row = CrashRow{Data: data, Revision: s.row.Revision + 1, Clock: s.row.Clock}
	return true, nil
}

// strikeThrice lets three upstreams crash under a request at a node.
func strikeThrice(n *Node, key crashguard.Key) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range []crashguard.CrashID{1, 2, 3} {
		now := time.Now()
		n.crashGuard.Strike(id, crashguard.Chain{key}, now.Add(-time.Millisecond), now, now)
	}
	n.noteOwnEvidence()
}

// Fails if a node that starts alone serves before it knows the record of crashes, or never serves
// because the record can't be read.
func TestStartingNodeKnowsTheRecordBeforeItServes(t *testing.T) {
	const key = crashguard.Key(7)
	for _, c := range []struct {
		name     string
		failures int32
		data     []byte
		known    bool
	}{
		{name: "record is read", known: true},
		{name: "first call fails", failures: 1, known: true},
		{name: "all calls fail", failures: recordLoadAttempts},
		{name: "row of another writer", data: []byte("{")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &crashTable{row: CrashRow{Clock: time.Hour}}
				earlier := newGroupNode(true)
				earlier.source = s
				strikeThrice(earlier, key)
				is.NoErr(earlier.saveCrashRecord(context.Background(), time.Second))
				if c.data != nil {
					s.row.Data = c.data
				}
				s.failures.Store(c.failures)
				s.delay = 200 * time.Millisecond
				n := newGroupNode(true)
				n.source = s
				began := time.Now()
				done := make(chan bool, 1)
				go func() { done <- n.readOrders(context.Background()) }()
				synctest.Wait()
				is.Equal(n.configVersion() > 0, c.failures == recordLoadAttempts)
				is.True(<-done)
				is.True(n.configVersion() > 0)
				is.True(time.Since(began) <= s.delay)
				n.mu.Lock()
				defer n.mu.Unlock()
				is.Equal(len(n.crashGuard.Blocking(crashguard.Chain{key}, time.Now())) > 0, c.known)
				is.Equal(n.crashRecord.Unread, c.failures == recordLoadAttempts)
			})
		})
	}
}

// Fails if evidence is lost because other nodes write at the same time, or because the table is away.
func TestEvidenceIsRecordedBesideOtherWritersAndAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &crashTable{row: CrashRow{Clock: time.Hour}, conflicts: 2 * maxRecordAttempts}
		s.failures.Store(3)
		n := newGroupNode(true)
		n.source = s
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { n.followCrashRecord(ctx); close(done) }()
		strikeThrice(n, 7)
		time.Sleep(time.Minute)
		s.mu.Lock()
		is.True(len(s.row.Data) > 0)
		is.Equal(s.attempts, 2*maxRecordAttempts+1)
		reads := s.reads
		s.mu.Unlock()
		time.Sleep(time.Minute)
		stop()
		<-done
		is.Equal(s.reads, reads) // what is recorded causes no calls
	})
}

// Fails if a trial of a convicted request runs that the table does not hold: a loss of all nodes
// during it would allow another one.
func TestTrialOfAConvictedRequestIsRecordedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const key = crashguard.Key(7)
		s := &crashTable{row: CrashRow{Clock: time.Hour}}
		n := newGroupNode(true)
		n.source = s
		for _, id := range []crashguard.CrashID{1, 2, 3} {
			n.crashGuard.Strike(id, crashguard.Chain{key}, time.Now(), time.Now(), time.Now())
			time.Sleep(time.Second)
		}
		is.True(len(n.crashGuard.Convicted(crashguard.Chain{key}, time.Now())) > 0)
		is.True(n.crashGuard.BeginTrial(key, time.Now()))
		s.failures.Store(1)
		is.True(!n.recordTrial(context.Background(), key))
		is.True(n.recordTrial(context.Background(), key))
		later := newGroupNode(true)
		later.source = s
		is.True(later.readOrders(context.Background()))
		is.Equal(later.crashGuard.Held(time.Now())[0].Trials, 1)
	})
}

// Fails if operators can't see or end a conviction, or if others than the VM's own processes can end one.
func TestOperatorsListAndPardonHeldKeys(t *testing.T) {
	is := is.New(t)
	n := newGroupNode(true)
	strikeThrice(n, 7)
	routes := httprouter.New()
	routes.GET(CrashesPath, n.listHeldKeys)
	routes.DELETE(CrashesPath+"/:key", n.pardonKey)
	ask := func(method, path, from string) (int, HeldKeys) {
		w := httptest.NewRecorder()
		r := httptest.NewRequest(method, path, nil)
		r.RemoteAddr = from
		routes.ServeHTTP(w, r)
		var held HeldKeys
		is.NoErr(json.Unmarshal(w.Body.Bytes(), &held))
		return w.Code, held
	}
	status, held := ask(http.MethodGet, CrashesPath, "10.0.0.9:1")
	is.Equal(status, http.StatusOK)
	is.Equal(len(held.Keys), 1)
	is.Equal(held.Keys[0].Strikes, 3)
	path := CrashesPath + "/" + held.Keys[0].Key
	for _, c := range []struct {
		path, from string
		want       int
	}{
		{path, "10.0.0.9:1", http.StatusForbidden},
		{CrashesPath + "/other", "127.0.0.1:1", http.StatusBadRequest},
		{CrashesPath + "/8", "127.0.0.1:1", http.StatusNotFound},
		{path, "127.0.0.1:1", http.StatusOK},
		{path, "127.0.0.1:1", http.StatusNotFound},
	} {
		status, held = ask(http.MethodDelete, c.path, c.from)
		is.Equal(status, c.want)
	}
	_, held = ask(http.MethodGet, CrashesPath, "10.0.0.9:1")
	is.Equal(len(held.Keys), 0)
}
