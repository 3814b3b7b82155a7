package config

import "woaddyke/dispatch"

// Tenth is a tenth of a millisecond in nanoseconds, the unit of dispatch.Time.
const Tenth = 100_000

// RoundDown converts nanoseconds to tenths of a millisecond, rounded down: the direction for limits,
// which must not be overstepped.
func RoundDown(ns int64) dispatch.Time {
	tenths := ns / Tenth
	if ns%Tenth < 0 {
		tenths--
	}
	return dispatch.Time(tenths)
}

// RoundUp converts nanoseconds to tenths of a millisecond, rounded up: the direction for moments that
// have passed.
func RoundUp(ns int64) dispatch.Time { return -RoundDown(-ns) }
