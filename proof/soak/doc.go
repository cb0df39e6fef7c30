// Package soak runs gateways as separate processes against stand-ins of the
// platform, injects random faults from outside them, and checks from what callers
// and servers see that the promises hold.
package soak
