package node

import "github.com/hickorybank/hickorybank/internal/intake"

// intakeSettings returns the bounds of a listener for HTTP requests.
func (n *Node) intakeSettings(name string, connections int, a *intake.Account) intake.Settings {
	return intake.Settings{Name: name, MaxConnections: connections, Account: a, Observer: n.intakeRecorder()}
}

// intakeRecorder returns what counts and logs the bounds that clients meet.
func (n *Node) intakeRecorder() *intake.Recorder {
	return &intake.Recorder{Log: n.deps.Log, Metrics: n.metrics}
}
