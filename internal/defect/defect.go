// Package defect switches on deliberate defects, so that a check can show that
// the proofs fail when a mechanism is broken. Without the build tag "defects"
// On is always false and the compiler removes the defective code.
package defect
