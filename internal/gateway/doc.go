// Package gateway forwards callers' HTTP requests to upstreams. The host and path of a
// request select a route and its key selects an organisation. One pipeline then decides
// which upstream runs the request and how often it is retried.
//
// The nodes of a deployment gossip with each other about members, upstreams and rollouts.
// Each node follows the configuration and the list of upstreams in the platform's table.
//
// The package is independent of the platform: a [Dialect] reads and writes headers, and a
// [Source] reads and writes the platform's table.
package gateway
