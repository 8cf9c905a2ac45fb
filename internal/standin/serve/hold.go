package serve

import (
	"fmt"
	"net/netip"
	"syscall"
)

// hold keeps a killed server's port: it is bound and doesn't listen, so that connections are refused, as by a
// dead process, and neither another listener nor an outgoing connection takes the port meanwhile.
type hold struct {
	fd int
}

// holdPort binds addr, an IPv4 address and port.
func holdPort(addr string) (*hold, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("hold port: %w", err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("hold port: %w", err)
	}
	h := &hold{fd: fd}
	// With this option a listener may bind the port beside a socket that doesn't listen.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()})
	}
	if err != nil {
		h.release()
		return nil, fmt.Errorf("hold port: %w", err)
	}
	return h, nil
}

// release gives the port up; a nil hold has none.
func (h *hold) release() {
	if h != nil {
		_ = syscall.Close(h.fd)
	}
}
