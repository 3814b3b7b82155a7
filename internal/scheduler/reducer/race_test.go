//go:build race

package ops

// The race detector makes a change ten times slower, and what it looks for here does not grow with their
// number.
func init() { dayOfChanges = 800 }
