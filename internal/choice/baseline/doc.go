// Package baseline holds the simple policies that version choice is measured
// against: always the best version, always the cheapest, and a fixed share of
// both. They stay in the tree so that the measurement can be repeated.
package baseline
