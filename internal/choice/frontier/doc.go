// Package frontier finds the cheapest ways to reach each quality: running one
// version, or a cheap one whose answer is rated and followed by a dear one when
// it falls short, or a random mix of two such ways.
//
// Cost and quality of a mix are linear in its shares, so the cheapest mixes are
// the corners and edges of the upper hull over all ways in the plane of cost
// and quality.
package frontier
