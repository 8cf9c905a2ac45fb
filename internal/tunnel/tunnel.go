// Package tunnel carries connections to upstreams through other instances. An instance whose own path to an upstream
// fails asks another one to connect there, and exchanges bytes with the upstream over it. The request stays with the
// first instance, which alone decides on its retries, deadline and outcome. The other one only copies bytes, and never
// asks a third one.
package tunnel

import (
	"errors"
	"time"
)

const (
	// connectTimeout bounds the server's attempt to connect to an upstream. It is shorter than the whole attempt of the
	// instance that asked, so that this still gets the answer.
	connectTimeout = 250 * time.Millisecond
	// chunkBytes is the most data of one message.
	chunkBytes = 32 << 10
)

// Errors of tunnels.
var (
	// ErrNoInstance reports that no other instance could connect to the upstream.
	ErrNoInstance = errors.New("no other instance connects to the upstream")
	// ErrLost reports that the other instance, or the connection to it, was lost. What the upstream did is unknown.
	ErrLost = errors.New("instance that connected to the upstream was lost")
)
