package sim

import (
	"github.com/hickorybank/hickorybank/internal/choice/exposure"
	"github.com/hickorybank/hickorybank/internal/platform"
)

// table holds the exposure rows and the accounts of the nodes responsible for them.
type table struct {
	rows     map[string]platform.Row
	accounts map[string]*exposure.Account
}

func newTable() *table {
	return &table{rows: map[string]platform.Row{}, accounts: map[string]*exposure.Account{}}
}

func (t *table) account(version string) *exposure.Account {
	a, ok := t.accounts[version]
	if !ok {
		a = exposure.NewAccount(version)
		t.accounts[version] = a
	}
	if !a.Known() {
		key := exposure.RowKey(version)
		row := t.rows[key]
		row.Key = key
		if err := a.Read(row); err != nil {
			panic(err) // unreachable: only accounts write these rows
		}
	}
	return a
}

func (t *table) capLifted(version string) bool { return t.account(version).Open() }

func (t *table) commit(a *exposure.Account, txn platform.Txn) {
	w := txn.Writes[0]
	row := platform.Row{Key: w.Key, Version: t.rows[w.Key].Version + 1, Value: w.Value}
	t.rows[w.Key] = row
	a.Committed(platform.CommitResult{Applied: true, Version: row.Version}, nil)
}

// grant returns the grant of the node that is responsible for the version's account. It
// lifts the cap first if the collecting node's chooser permits it.
func (r *run) grant(version string) exposure.Grant {
	a := r.table.account(version)
	chooser := r.nodes[r.collector(version)].chooser
	if !a.Open() && chooser.CanLiftCap(version, r.time()) {
		r.table.commit(a, a.LiftCap())
		r.result.CapLifted[version] = r.now
	}
	if a.Open() {
		return exposure.Grant{Open: true}
	}
	if units := a.HandOut(1); units > 0 {
		return exposure.Grant{Units: units}
	}
	if txn, ok := a.Allocate(r.snapshot.Version(version).ExposureCap); ok {
		r.table.commit(a, txn)
	}
	return exposure.Grant{Units: a.HandOut(1)}
}
