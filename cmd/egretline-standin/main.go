// Command egretline-standin runs small stand-ins of the platform for demonstrations and tests.
package main

import (
	"context"
	"os"

	"egretline.example/egretline/cmd/egretline-standin/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), os.Args[1:]))
}
