// Package event holds the numbered log events of the router. Each event has a
// number that never changes its meaning, a name and a level; docs/EVENTS.md is
// the catalogue for people, and a test compares the two.
package event
