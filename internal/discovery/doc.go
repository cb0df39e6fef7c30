// Package discovery maintains a gateway's copy of the configuration and of the list of
// backend servers, and chooses the source that keeps it up to date.
//
// # What operators see
//
// In each data centre one gateway, the reader, watches the platform's store. The
// others follow it, and turn to the store themselves if it stops sending updates or
// can't reach the store. A configuration is never replaced by an older version.
// Servers that are missing right after an outage of the store are kept for a short
// time, because their records may have expired during the outage.
package discovery
