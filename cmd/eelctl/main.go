// Command eelctl is the operators' command line.
//
// # Usage
//
//	export EEL_ADDRS=10.0.0.11:7000 EEL_TOKEN_FILE=token
//	eelctl apply -f catalogue.yaml
//	eelctl status
//	eelctl policy swap --policy registry-near --algorithm leastLoaded
package main

import (
	"os"

	"github.com/eelgrassroad/eelgrassroad/internal/opctl"
)

func main() {
	os.Exit(opctl.Run(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
