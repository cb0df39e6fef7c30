// Package peerwire holds the messages between entries and the generated gRPC
// code. `make generate` rebuilds it from peers.proto.
package peerwire
