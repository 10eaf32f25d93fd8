// Package table is the transactional table of the stand-in platform, in memory and
// without locks, clock or I/O. Its owner serialises the calls, which makes every
// transaction serialisable.
package table
