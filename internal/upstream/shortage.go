package upstream

import (
	"errors"
	"syscall"
)

// IsShortage reports whether a connection could not be opened because this process or its machine lacks what it takes: a
// descriptor, a port or memory. It shows nothing of the upstream, nor of the path to it.
func IsShortage(err error) bool {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
