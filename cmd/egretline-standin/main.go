// Command egretline-standin runs stand-ins for the platform's services and for backend servers in demonstrations and
// tests.
package main

import (
	"context"
	"os"

	"egretline.example/egretline/cmd/egretline-standin/cmds"
)

func main() {
	os.Exit(cmds.Run(context.Background(), os.Args[1:]))
}
