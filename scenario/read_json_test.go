package scenario

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// readJSON reads what a process of the scenario tells at a URL.
func readJSON(url string, v any) error {
	resp, err := runsClient.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: status %s", url, resp.Status)
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(v), url)
}

// upstreamCounts are what a stand-in upstream counts.
type upstreamCounts struct {
	Crashes  int `json:"crashes"`
	Declined int `json:"declined"`
}

func fetchCounts(p *process) (upstreamCounts, error) {
	var counts upstreamCounts
	err := readJSON("http://"+p.addrs.Faults+"/counts", &counts)
	return counts, err
}
