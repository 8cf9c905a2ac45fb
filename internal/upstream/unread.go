package upstream

import (
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unread shows what has arrived on the connection of one exchange and has not been read yet. The zero value shows nothing. It
// is safe for concurrent use.
type Unread struct{ conn atomic.Pointer[conn] }

// Look returns the bytes that lie unread, as far as they are known, and whether a read would return at once. That is also the
// case at the end of a connection, with 0 bytes.
func (u *Unread) Look() (bytes int, waiting bool) {
	c := u.conn.Load()
	if c == nil {
		return 0, false
	}
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return lookAtSocket(sc)
	}
	return 0, false
}

// lookAtSocket is Look for a socket.
func lookAtSocket(c syscall.Conn) (bytes int, waiting bool) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false
	}
	err = raw.Control(func(fd uintptr) {
		// A receive, also one that only peeks, would take a reset away from the read, which would then find an end in order.
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		waiting = err == nil && n > 0
		bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) // 0 if the system doesn't tell
	})
	return bytes, waiting && err == nil
}
