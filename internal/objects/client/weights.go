package client

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects/call"
)

// defaultBudgetDelay is the delay after a refusal of the weight store without a valid Retry-After header.
const defaultBudgetDelay = time.Second

// TakeBudget takes the transfer budget of one load from the weight store. A positive wait means that there is none, and
// after which time to ask again. After an error the budget may have been taken.
func (c *Client) TakeBudget(ctx context.Context, model, version string, gigabytes int64) (wait time.Duration, err error) {
	u := fmt.Sprintf("%s/weights/%s/%s?gb=%d", c.weights, url.PathEscape(model), url.PathEscape(version), gigabytes)
	a, err := c.calls.Do(ctx, call.Request{
		Method: fasthttp.MethodPost, URL: u, Timeout: callTimeout, ReadHeader: fasthttp.HeaderRetryAfter,
	})
	if err != nil {
		return 0, err
	}
	switch a.Status {
	case fasthttp.StatusNoContent, fasthttp.StatusOK:
		return 0, nil
	case fasthttp.StatusTooManyRequests:
		seconds, err := strconv.Atoi(a.Header)
		if err != nil || seconds <= 0 {
			return defaultBudgetDelay, nil
		}
		return time.Duration(seconds) * time.Second, nil
	default:
		return 0, fmt.Errorf("take transfer budget for %s@%s: status %d", model, version, a.Status)
	}
}
