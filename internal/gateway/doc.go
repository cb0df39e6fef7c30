// Package gateway serves callers: it matches a request to a route, checks the load
// of some servers, sends the request to one of them and returns its answer.
//
// # What operators see
//
// Each request ends with one log line with its id, the route, the version of the
// configuration, the data by which its servers were chosen, and the outcome. Status 429
// or 503 guarantees that the request has not run and will not; after 502 and 504 it may
// have run.
package gateway
