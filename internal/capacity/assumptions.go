package capacity

// Assumptions are inputs of the model that the users' requirements do not give. Shares are in
// [0,1]; rates are per second over all nodes at the peak.
type Assumptions struct {
	Organisations       float64 `json:"organisations"`
	Classes             float64 `json:"classes"`
	ActiveOrganisations float64 `json:"active_organisations"`
	Limited             float64 `json:"limited"`
	Unrepeatable        float64 `json:"unrepeatable"`
	Answer              float64 `json:"kept_answer_bytes"`
	Timed               float64 `json:"uuidv7_keys"`
	DayMean             float64 `json:"day_mean"`
	Callers             float64 `json:"callers"`
	AddressTTL          float64 `json:"address_ttl_seconds"`
	AddressBytes        float64 `json:"address_bytes"`
	ListEdits           float64 `json:"list_edits"`
	PacketHeader        float64 `json:"packet_header_bytes"`
	HeapFactor          float64 `json:"heap_factor"`
	PollsPerSecond      float64 `json:"polls_per_second"`
	Subset              float64 `json:"subset"`
	TableWrites         float64 `json:"table_writes"`
	TableReads          float64 `json:"table_reads"`
	RolloutSteps        float64 `json:"rollout_steps"`
}

// DefaultAssumptions returns the assumptions that the page uses.
func DefaultAssumptions() Assumptions {
	return Assumptions{
		Organisations: 1000, Classes: docClasses, ActiveOrganisations: 100, Limited: 0.2,
		Unrepeatable: 0.05, Answer: 200, Timed: 0.9, DayMean: 0.5,
		Callers: 20_000, AddressTTL: 5, AddressBytes: 700,
		ListEdits:    3,
		PacketHeader: 52, HeapFactor: 2, PollsPerSecond: 4, Subset: 64,
		TableWrites: 500, TableReads: 2000, RolloutSteps: 200,
	}
}

// List returns the assumptions with descriptions for the page.
func (a Assumptions) List() []Assumption {
	return []Assumption{
		{"organisations", a.Organisations, "", "ten for every 16 nodes: today ten for 6 to 8 nodes, and larger nodes then"},
		{"classes", a.Classes, "", "today about five for each user; each organisation has targets for four"},
		{"organisations active at one node within 10 s", a.ActiveOrganisations, "", "58.75 requests a second come to a node; callers keep to a few addresses for a while"},
		{"share of organisations with a limit of their own", a.Limited, "", "a few large ones and those on trial; the rest share by weight"},
		{"share of requests that may not be repeated", a.Unrepeatable, "", "billing and licence records are 4 of 22 upstreams today, most of their calls are look-ups"},
		{"bytes of an answer kept with a claim", a.Answer, "B", "a receipt; the code keeps up to 8 KiB"},
		{"share of keys that carry their time (UUIDv7)", a.Timed, "", "libraries of today make them; others cost a read of a log without end"},
		{"mean load of a day relative to its peak", a.DayMean, "", "neither team works at night"},
		{"caller processes that ask for addresses", a.Callers, "", "12 for each node; each asks again when its answer runs out"},
		{"life of an address answer", a.AddressTTL, "s", "the default of package membership"},
		{"bytes of an address answer and its question", a.AddressBytes, "B", "four addresses, usual HTTP headers"},
		{"edits of the VM list for each lost or replaced VM", a.ListEdits, "", "leaves, is gone, another one comes"},
		{"bytes of TCP and IP headers for each message", a.PacketHeader, "B", "IPv4 20, TCP with time stamps 32; answers carry the acknowledgements"},
		{"process memory for each byte of live heap", a.HeapFactor, "", "the collector's default lets the heap double"},
		{"load reports that a node asks for", a.PollsPerSecond, "/s", "the default of package balance"},
		{"upstreams that a node deals with", a.Subset, "", "the default of package balance"},
		{"writes that one table takes", a.TableWrites, "/s", "“several hundred”; the stand-in's default"},
		{"reads that one table takes", a.TableReads, "/s", "“about two thousand”"},
		{"writes of a roll-out's row a day for its steps", a.RolloutSteps, "", "stages, and what is in hand; its renewals come on top"},
	}
}
