// Package httplog passes the HTTP library's own messages on at debug level; they repeat what our lines say.
package httplog

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
)

// Logger implements fasthttp.Logger.
type Logger struct {
	Log hclog.Logger
}

// Printf logs one message of the library.
func (l Logger) Printf(format string, args ...any) {
	l.Log.Debug("http", "message", fmt.Sprintf(format, args...))
}
