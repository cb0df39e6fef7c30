// Package soak runs gateways as separate processes against stand-ins of the
// platform, injects random faults from outside them, and checks from what callers
// and servers see that the promises hold.
//
// Callers send plain requests, or pipeline them, or are slow: they send heads and
// bodies in pieces, read in pieces, are behind a slow link, or ask for large answers
// and long work. They keep their connections until the gateway ends them or a stop is
// over. The faults are in groups: general, stops (planned stops in unusual orders), endless
// (servers that send without end), refusals (services that refuse everything), places (data
// centres that are evacuated and come back cold) and copies (the store comes back from a copy
// that lacks its last writes). A seed draws the same faults as
// long as its groups stay as they are; it does not fix what happens when.
//
// A gateway must take no answer from a caller, in a planned stop or at any other time
// (checkLost). A request counts as sent with its last byte. Faults at its gateway or its
// server excuse it; the store's do not. No process may end by itself, outlast its grace
// period or take more memory than its VM has.
package soak
