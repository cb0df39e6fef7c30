// Command baobabstack is a load balancer between callers and backend servers.
package main

import (
	"os"

	"github.com/baobabstack/baobabstack/internal/cli"
)

func main() {
	os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr))
}
