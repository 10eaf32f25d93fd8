// Package frontier finds the cheapest strategies for each level of quality. A strategy is
// a single version, or a cascade: a cheap version whose answer is rated, followed by a
// more expensive version when the rating is below a threshold. Strategies may be mixed at
// random.
//
// Cost and quality of a mix are linear in its shares. The cheapest mixes are therefore
// the corners and edges of the upper convex hull of all strategies in the plane of cost
// and quality.
package frontier
