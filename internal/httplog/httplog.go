// Package httplog logs the messages of the HTTP library at debug level, as they repeat what other log lines say.
package httplog

import (
	"fmt"

	"github.com/hashicorp/go-hclog"
)

// Logger implements fasthttp.Logger and writes to Log.
type Logger struct {
	Log hclog.Logger
}

// Printf logs one message of the library.
func (l Logger) Printf(format string, args ...any) {
	l.Log.Debug("http", "message", fmt.Sprintf(format, args...))
}
