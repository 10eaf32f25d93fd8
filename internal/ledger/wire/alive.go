package wire

// AliveArgs asks a node for its process.
type AliveArgs struct{}

// AliveReply names it.
type AliveReply struct {
	Process string
}
