package scenario

import (
	"net"
	"strings"
)

// addresses are the listen addresses that a process prints in its ready line.
type addresses struct {
	Main   string
	Faults string
	Admin  string
	Peer   string
}

// parseReady parses a line such as "ready platform IP:PORT faults IP:PORT". The word
// before an address names its purpose.
func parseReady(line string) addresses {
	var a addresses
	var before string
	for _, word := range strings.Fields(line) {
		if _, _, err := net.SplitHostPort(word); err != nil {
			before = word
			continue
		}
		switch before {
		case "faults":
			a.Faults = word
		case "admin", "operators":
			a.Admin = word
		case "peer", "peers":
			a.Peer = word
		default:
			a.Main = word
		}
		before = ""
	}
	return a
}
