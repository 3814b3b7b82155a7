//go:build race

package reducer

// The detector makes a change ten times dearer, and what it looks for here does not grow with their number.
func init() { dayOfChanges = 800 }
