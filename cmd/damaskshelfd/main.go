// Command damaskshelfd is one entry instance of damaskshelf.
package main

import (
	"fmt"
	"net"
)

func main() {
	fmt.Println(net.IPv4len)
}
