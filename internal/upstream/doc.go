// Package upstream talks to backend servers: it keeps connections to them, asks
// for their load, and sends one request at a time on a connection.
//
// # What operators see
//
// A connection is used again only after a whole answer with nothing behind it.
// Answers are matched to requests by the id that servers echo, so an answer that
// arrives late is dropped and never given to the next request. The time for
// which a server keeps an idle connection is learned from its answers.
package upstream
