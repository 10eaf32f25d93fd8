// Package baseline holds the simple policies that version choice is compared with: always
// the best version, always the cheapest, and a fixed share of both. They make the
// comparison repeatable.
package baseline
