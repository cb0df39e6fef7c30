// Package discovery keeps what an entry believes of the configuration and of the
// backend servers, and where it heard it.
//
// # What operators see
//
// In each data centre one entry, the reader, watches the platform's store; the
// others follow it, and go to the store themselves if it falls silent or loses
// its contact. A configuration never goes back to an older version. Servers that
// are missing right after an outage of the store are kept for a short time,
// because their entries may have expired meanwhile.
package discovery
