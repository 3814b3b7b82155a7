//go:build race

package reducer

// The race detector slows a settings change tenfold, and the number of changes does not affect which races it
// can find here.
func init() { settingsChangesPerDay = 800 }
