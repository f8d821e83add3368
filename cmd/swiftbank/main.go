// Command swiftbank runs a node and is the operators' tool.
package main

import (
	"os"

	"swiftbank.dev/swiftbank/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
