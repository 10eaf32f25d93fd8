// Package sim measures version choice in virtual time: several nodes choose for
// a stream of requests, answers have a hidden true quality, ratings of them are
// sampled, late and noisy, and summaries, grants and holds travel between the
// nodes. It is no simulator of a cluster: engines, queues and networks are only
// delays here.
//
// The results tell the cost relative to the cheapest mix that an oracle with
// the true qualities would choose, and to always running the best version;
// whether each organisation and class met its target; and how many answers a
// version gave after it turned bad.
package sim
