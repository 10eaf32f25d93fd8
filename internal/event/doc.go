// Package event defines the numbered log events of the router. Each event has a number
// whose meaning never changes, a name and a level. docs/EVENTS.md documents them
// for operators; a test checks that both agree.
package event
