// Package servers keeps the connections to backend servers and what this entry
// knows of each server's load and health.
package servers
