// Command swiftbank runs the product's processes and provides the operators' commands.
package main

import (
	"os"

	"swiftbank.dev/swiftbank/internal/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
