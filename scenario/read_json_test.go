package scenario

import (
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"
)

// readJSON decodes the JSON document at a URL of one of the processes.
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

// upstreamCounts are the counters of a stand-in upstream.
type upstreamCounts struct {
	Crashes  int `json:"crashes"`
	Declined int `json:"declined"`
}

func fetchCounts(p *process) (upstreamCounts, error) {
	var counts upstreamCounts
	err := readJSON("http://"+p.addrs.Faults+"/counts", &counts)
	return counts, err
}
