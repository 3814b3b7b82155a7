//go:build race

package reducer

// The race detector makes a change ten times slower, and what it looks for here does not grow with their
// number.
func init() { dayOfChanges = 800 }
