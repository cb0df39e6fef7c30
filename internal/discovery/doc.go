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
//
// A store that comes back from a copy lacks its last writes and gives their revisions out
// again. It tells so by its era, which goes before the revision wherever two are compared.
// What the copy lacks, or has in an older form, gives way for a short time to what was known.
package discovery
