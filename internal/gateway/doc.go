// Package gateway serves callers: it matches a request to a route, asks servers
// for their load, sends the request to one of them and returns its answer.
//
// # What operators see
//
// Each request ends with one log line that carries its id, the route, the version
// of the configuration, what decided where it went, and the outcome. An answer
// with status 429 or 503 says that the request has not run and will not; 502 and
// 504 say nothing about that.
package gateway
