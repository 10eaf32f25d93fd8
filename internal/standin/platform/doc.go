// Package platform serves the stand-in platform over HTTP: the interface of
// package wire on one port and, on another, the faults, the truth behind the
// ratings, and the figures. The state and its behaviour are package memory's;
// this package only carries them over sockets.
package platform
