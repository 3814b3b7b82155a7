// Command simhost runs the decision module on the bench's wire.
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
