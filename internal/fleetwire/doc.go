// Package fleetwire holds the generated gRPC service and messages with which
// gateways exchange membership and the content of the platform's store.
package fleetwire
