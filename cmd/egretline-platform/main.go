// Command egretline-platform runs a node of the proxy fleet on the users' platform, with the interfaces that package
// platform implements.
package main

import (
	"context"
	"os"

	"egretline.example/egretline/platform"
)

func main() {
	os.Exit(platform.Run(context.Background()))
}
