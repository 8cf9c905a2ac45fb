package losses

import (
	"testing"

	"github.com/damaskshelf/damaskshelf/internal/decide/dispatch"
)

// Guards against a refusal of the dispatcher that operators see as a fault of no cause.
func TestEveryRefusalHasACause(t *testing.T) {
	for _, reason := range dispatch.Reasons {
		switch reason {
		case dispatch.Packed, dispatch.Spread, dispatch.SingleEngine, dispatch.LeastWork:
			continue
		}
		end := fields{"reason": "refused", "detail": string(reason)}
		if reason == dispatch.NoUpstream {
			end["fault"] = "no_upstream"
		}
		if c, owed := refused(end); !owed || c == Other {
			t.Errorf("%s: cause %q, owed %v", reason, c, owed)
		}
	}
}
