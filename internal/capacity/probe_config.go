package capacity

import (
	"encoding/json"
	"runtime"

	"github.com/hickorybank/hickorybank/internal/config"
	"github.com/hickorybank/hickorybank/internal/platform"
)

var orgCounts = []int{10, 100, 1000}

func configProbes() []Probe {
	return []Probe{
		{
			Slope: Slope{Name: "config.bytes", What: "a document as JSON", Per: "organisations", Unit: Bytes},
			Sizes: orgCounts, QuickSizes: []int{10, 100}, Measure: func(_ Meter, orgs int) (float64, error) { return jsonSize(document(orgs)) },
		},
		{
			Slope: Slope{Name: "config.apply", What: "a document decoded, validated, compiled, as a node does that takes it from another", Per: "organisations", Unit: Nanoseconds},
			Sizes: orgCounts, QuickSizes: []int{10, 100}, Measure: measureCompile,
		},
		{
			Slope: Slope{Name: "config.heap", What: "the heap of a snapshot", Per: "organisations", Unit: Bytes},
			Sizes: orgCounts, QuickSizes: []int{10, 100}, Measure: measureSnapshotHeap,
		},
		{
			Slope: Slope{Name: "list.bytes", What: "the platform's VM list as JSON", Per: "VMs", Unit: Bytes},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: func(_ Meter, vms int) (float64, error) { return jsonSize(fleet(0, vms, domainsOf(vms))) },
		},
		{
			Slope: Slope{Name: "list.decode", What: "the VM list decoded from JSON", Per: "VMs", Unit: Nanoseconds},
			Sizes: fleetSizes, QuickSizes: []int{24, 2500}, Measure: measureListDecode,
		},
	}
}

func jsonSize(v any) (float64, error) {
	data, err := json.Marshal(v)
	return float64(len(data)), err
}

func measureCompile(m Meter, orgs int) (float64, error) {
	data, err := json.Marshal(document(orgs))
	if err != nil {
		return 0, err
	}
	return m.CPU(func(n int) {
		for range n {
			doc := new(config.Document)
			failed := json.Unmarshal(data, doc)
			if failed == nil {
				_, failed = config.Compile(1, doc)
			}
			if failed != nil {
				err = failed
				return
			}
		}
	}), err
}

func measureSnapshotHeap(m Meter, orgs int) (float64, error) {
	data, err := json.Marshal(document(orgs))
	if err != nil {
		return 0, err
	}
	v := m.Heap(func() any {
		doc, failed := config.Parse(data)
		if failed != nil {
			err = failed
			return nil
		}
		s, failed := config.Compile(1, doc)
		err = failed
		return s
	})
	runtime.KeepAlive(data)
	return v, err
}

func measureListDecode(m Meter, vms int) (float64, error) {
	data, err := json.Marshal(fleet(0, vms, domainsOf(vms)))
	if err != nil {
		return 0, err
	}
	return m.CPU(func(n int) {
		for range n {
			var list []platform.VM
			if failed := json.Unmarshal(data, &list); failed != nil {
				err = failed
			}
		}
	}), err
}
