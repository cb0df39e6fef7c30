// Package standin holds small fakes of what surrounds an entry, for tests and
// for `make run`: the platform's configuration service and backend servers. The
// product does not use it.
package standin
