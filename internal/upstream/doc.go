// Package upstream is the HTTP/1.1 client for backend servers. It pools connections,
// sends health checks that return the load, and sends one request at a time on a
// connection.
//
// # What operators see
//
// A connection is reused only after a complete answer with no bytes after it.
// Answers are matched to requests by the id that servers echo, so a late answer
// is dropped and never given to the next request. How long a server keeps an
// idle connection is learned from its Keep-Alive headers.
package upstream
