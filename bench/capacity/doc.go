// Package capacity measures what control costs an entry, with real entry
// processes against stand-ins, at several sizes, and fits slopes to it. The
// figures of docs/CAPACITY.md come from here.
package capacity
