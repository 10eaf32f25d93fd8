package wire

// AliveArgs asks a node which process it runs.
type AliveArgs struct{}

// AliveReply answers [AliveArgs].
type AliveReply struct {
	// Process identifies the process; a restart changes it.
	Process string
}
