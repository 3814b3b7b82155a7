// Command showclock prints, for each line that it reads, the wall clock's Unix seconds and how long it has run, in milliseconds. It is
// what the tests of the stepped clock build.
package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

func main() {
	start := time.Now()
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		fmt.Println(time.Now().Unix(), time.Since(start).Milliseconds())
	}
}
