// Command simhost runs the dispatcher for the simulator: it speaks the simulator's protocol on standard
// input and output.
package main

import (
	"fmt"
	"os"

	"woaddyke/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
