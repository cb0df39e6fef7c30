// Package fleetwire holds the generated messages that gateways exchange about
// themselves and about what the platform's store says.
package fleetwire
