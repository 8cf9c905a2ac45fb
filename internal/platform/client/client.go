// Package client speaks the platform's wire protocols over fasthttp.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/platform"
	"github.com/damaskshelf/damaskshelf/internal/platform/wire"
)

const (
	dialTimeout = time.Second
	callTimeout = 2 * time.Second // bound of one call; a watch adds its own wait
	maxValue    = 1 << 20
	maxAnswer   = 64 << 20 // a list of many objects
)

// Client is the object API, instance list and weight store at fixed addresses.
type Client struct {
	objects   string
	instances string
	weights   string
	http      *fasthttp.Client
	conns     *conns
	list      atomic.Pointer[wire.InstanceList] // as last read; not to be changed
}

// Addresses are the platform's, each IP and port.
type Addresses struct {
	Objects   string
	Instances string
	Weights   string
}

// New gives a client; it connects on first use.
func New(a Addresses) *Client {
	open := &conns{open: map[*trackedConn]struct{}{}}
	return &Client{
		conns:   open,
		objects: "http://" + a.Objects, instances: "http://" + a.Instances, weights: "http://" + a.Weights,
		http: &fasthttp.Client{
			Dial:                open.dial,
			MaxConnsPerHost:     64,
			MaxIdleConnDuration: 10 * time.Second,
			MaxConnDuration:     time.Minute,
			MaxResponseBodySize: maxAnswer,
			// The library would turn an escaped slash of a name back into one, and ask for another path.
			DisablePathNormalizing: true,
			// A write is never sent twice by the library: its outcome is settled by reading back.
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

var (
	_ platform.Store     = (*Client)(nil)
	_ platform.Instances = (*Client)(nil)
)

// Close ends every call under way, waiting watches among them; later calls fail.
func (c *Client) Close() {
	c.conns.closeAll()
	c.http.CloseIdleConnections()
}

type call struct {
	method  string
	url     string
	body    []byte
	headers [][2]string
	timeout time.Duration
}

// answer is a whole response; the body is the caller's.
type answer struct {
	status     int
	body       []byte
	retryAfter string // header, as it came
}

// do sends one call in the caller's goroutine, bounded by its timeout and ctx's deadline.
func (c *Client) do(ctx context.Context, q call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
	}
	deadline := time.Now().Add(q.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(q.url)
	req.Header.SetMethod(q.method)
	for _, h := range q.headers {
		req.Header.Set(h[0], h[1])
	}
	req.SetBody(q.body)
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		if errors.Is(err, fasthttp.ErrDialTimeout) || isDial(err) {
			return answer{}, fmt.Errorf("%w: %w", platform.ErrUnavailable, err)
		}
		return answer{}, fmt.Errorf("%s %s: %w", q.method, q.url, err)
	}
	return answer{
		status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...),
		retryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)),
	}, nil
}

// get decodes a 200 answer of a read into out.
func (c *Client) get(ctx context.Context, u string, timeout time.Duration, out any) error {
	a, err := c.do(ctx, call{method: fasthttp.MethodGet, url: u, timeout: timeout})
	if err != nil {
		return err
	}
	return decode(u, a, out)
}

// decode reads the 200 answer of a read of u into out.
func decode(u string, a answer, out any) error {
	switch a.status {
	case fasthttp.StatusOK:
		if err := json.Unmarshal(a.body, out); err != nil {
			return fmt.Errorf("decode answer of %s: %w", u, err)
		}
		return nil
	case fasthttp.StatusNotFound:
		return platform.ErrNotFound
	default:
		return fmt.Errorf("get %s: status %d", u, a.status)
	}
}

func (c *Client) objectURL(key platform.Key) string {
	return c.objects + "/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

// Get implements platform.Store.
func (c *Client) Get(ctx context.Context, key platform.Key) (wire.Object, error) {
	var o wire.Object
	err := c.get(ctx, c.objectURL(key), callTimeout, &o)
	return o, err
}

// List implements platform.Store.
func (c *Client) List(ctx context.Context, kind string) (wire.List, error) {
	var l wire.List
	err := c.get(ctx, c.objects+"/objects/"+url.PathEscape(kind), callTimeout, &l)
	return l, err
}

// Watch implements platform.Store.
func (c *Client) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	u := fmt.Sprintf("%s/objects/%s?watch=%d&timeout_ms=%d", c.objects, url.PathEscape(kind), version, wait.Milliseconds())
	var l wire.List
	if err := c.get(ctx, u, wait+callTimeout, &l); err != nil {
		return wire.List{}, err
	}
	if l.TooOld {
		return wire.List{}, platform.ErrTooOld
	}
	return l, nil
}

// Put implements platform.Store.
func (c *Client) Put(ctx context.Context, w platform.Write) (uint64, error) {
	if len(w.Value) > maxValue {
		return 0, fmt.Errorf("object %s: value of %d bytes is over the store's %d", w.Key, len(w.Value), maxValue)
	}
	a, err := c.do(ctx, call{
		method: fasthttp.MethodPut, url: c.objectURL(w.Key), body: w.Value, timeout: callTimeout,
		headers: [][2]string{
			{wire.HeaderIfVersion, strconv.FormatUint(w.IfVersion, 10)},
			{wire.HeaderWriteID, w.WriteID},
			{fasthttp.HeaderContentType, "application/json"},
		},
	})
	if err != nil {
		return 0, err
	}
	return writeAnswer(w.Key, a)
}

// Delete implements platform.Store.
func (c *Client) Delete(ctx context.Context, key platform.Key, ifVersion uint64) error {
	a, err := c.do(ctx, call{
		method: fasthttp.MethodDelete, url: c.objectURL(key), timeout: callTimeout,
		headers: [][2]string{{wire.HeaderIfVersion, strconv.FormatUint(ifVersion, 10)}},
	})
	if err != nil {
		return err
	}
	_, err = writeAnswer(key, a)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) && conflict.Current == 0 {
		return platform.ErrNotFound
	}
	return err
}

func writeAnswer(key platform.Key, a answer) (uint64, error) {
	switch a.status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		var w wire.Written
		if err := json.Unmarshal(a.body, &w); err != nil {
			return 0, fmt.Errorf("decode answer to write of %s: %w", key, err)
		}
		return w.Version, nil
	case fasthttp.StatusNotFound:
		return 0, platform.ErrNotFound
	case fasthttp.StatusConflict:
		var w wire.Conflict
		if err := json.Unmarshal(a.body, &w); err != nil {
			return 0, fmt.Errorf("decode conflict of %s: %w", key, err)
		}
		return 0, &platform.ConflictError{Key: key, Current: w.Current, WriteID: w.WriteID}
	default:
		return 0, fmt.Errorf("write %s: status %d", key, a.status)
	}
}

// Instances implements platform.Instances. A list that has not changed since the last read is not sent
// again: the platform answers 304 to the version that this client has.
func (c *Client) Instances(ctx context.Context) (wire.InstanceList, error) {
	q := call{method: fasthttp.MethodGet, url: c.instances + wire.PathInstances, timeout: callTimeout}
	known := c.list.Load()
	if known != nil {
		q.headers = [][2]string{{fasthttp.HeaderIfNoneMatch, wire.InstancesTag(known.Version)}}
	}
	a, err := c.do(ctx, q)
	if err != nil {
		return wire.InstanceList{}, err
	}
	if a.status == fasthttp.StatusNotModified && known != nil {
		return *known, nil
	}
	var l wire.InstanceList
	if err := decode(q.url, a, &l); err != nil {
		return wire.InstanceList{}, err
	}
	c.list.Store(&l)
	return l, nil
}

// isDial tells whether err came from connecting, so that nothing of the call was sent.
func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
