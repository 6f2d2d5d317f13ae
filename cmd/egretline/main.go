// Command egretline runs a node of the proxy fleet, and the commands and queries of its operators.
package main

import (
	"context"
	"os"

	"egretline.example/egretline/cmd/egretline/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), os.Args[1:]))
}
