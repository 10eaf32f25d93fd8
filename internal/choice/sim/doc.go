// Package sim simulates version choice in virtual time. Several nodes choose versions
// for a stream of requests. Answers have a hidden true quality; their ratings are
// sampled, delayed and noisy. The nodes exchange summaries, grants and holds. Engines,
// queues and networks are modelled as delays only.
//
// A result compares the cost with that of the cheapest mix an oracle with the true
// qualities would choose, and with that of always running the best version. It also
// reports whether each organisation and class met its target, and how many answers a
// version gave after it degraded.
package sim
