package serve

import (
	"fmt"
	"net/netip"
	"syscall"
)

// reservedPort keeps the port of a killed server bound without listening. Connections to it are refused as by a dead
// process, and the system assigns the port neither to another listener nor to an outgoing connection.
type reservedPort struct {
	fd int
}

// reservePort binds addr, an IPv4 address and port.
func reservePort(addr string) (*reservedPort, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, fmt.Errorf("reserve port: %w", err)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, fmt.Errorf("reserve port: %w", err)
	}
	p := &reservedPort{fd: fd}
	// This option lets Restart's listener bind the port while this socket, which doesn't listen, is still bound.
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(addrPort.Port()), Addr: addrPort.Addr().As4()})
	}
	if err != nil {
		p.release()
		return nil, fmt.Errorf("reserve port: %w", err)
	}
	return p, nil
}

// release closes the socket and frees the port. It does nothing on a nil reservedPort.
func (p *reservedPort) release() {
	if p != nil {
		_ = syscall.Close(p.fd)
	}
}
