// Package table is the transactional table of the stand-in platform: a plain
// in-memory structure without locks, clock or I/O. Its owner serialises the
// calls, which makes every transaction serialisable.
package table
