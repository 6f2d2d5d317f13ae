// Command egretline-platform runs a node of the proxy fleet on the users' platform.
package main

import (
	"context"
	"os"

	"egretline.example/egretline/platform"
)

func main() {
	os.Exit(platform.Run(context.Background()))
}
