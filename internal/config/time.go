package config

import "woaddyke/dispatch"

// Tenth is the number of nanoseconds in a tenth of a millisecond, the unit of dispatch.Time.
const Tenth = 100_000

// RoundDown converts nanoseconds to tenths of a millisecond and rounds down. It is for limits, which must
// not be exceeded.
func RoundDown(ns int64) dispatch.Time {
	tenths := ns / Tenth
	if ns%Tenth < 0 {
		tenths--
	}
	return dispatch.Time(tenths)
}

// RoundUp converts nanoseconds to tenths of a millisecond and rounds up. It is for times that have passed.
func RoundUp(ns int64) dispatch.Time { return -RoundDown(-ns) }
