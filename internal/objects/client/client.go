// Package client implements the clients of the platform's wire protocols with fasthttp.
package client

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/call"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

const (
	callTimeout   = 2 * time.Second // of one call; a watch adds its own wait
	maxValueBytes = 1 << 20         // of an object's value
)

// Client is a client of the object API, the instance list and the weight store at fixed addresses.
type Client struct {
	objects   string
	instances string
	weights   string
	calls     *call.Client
	lastList  atomic.Pointer[wire.InstanceList] // as last read; must not be modified
}

// Addresses holds the platform's addresses, each an IP and port.
type Addresses struct {
	Objects   string
	Instances string
	Weights   string
}

// New returns a client. It connects on first use.
func New(a Addresses) *Client {
	return &Client{
		calls:   call.New(),
		objects: "http://" + a.Objects, instances: "http://" + a.Instances, weights: "http://" + a.Weights,
	}
}

var (
	_ objects.Store          = (*Client)(nil)
	_ objects.InstanceLister = (*Client)(nil)
)

// Close ends all calls in flight, watches included. Later calls fail.
func (c *Client) Close() {
	c.calls.Close()
}

// get sends a GET request for u and decodes a response with status 200 into out.
func (c *Client) get(ctx context.Context, u string, timeout time.Duration, out any) error {
	a, err := c.calls.Do(ctx, call.Request{Method: fasthttp.MethodGet, URL: u, Timeout: timeout})
	if err != nil {
		return err
	}
	return decodeRead(u, a, out)
}

// decodeRead decodes the response to a GET request for u into out. It returns objects.ErrNotFound for status 404, and
// another error for any other status than 200.
func decodeRead(u string, a call.Response, out any) error {
	switch a.Status {
	case fasthttp.StatusOK:
		if err := call.Decode(a.Body, out); err != nil {
			return fmt.Errorf("decode answer of %s: %w", u, err)
		}
		return nil
	case fasthttp.StatusNotFound:
		return objects.ErrNotFound
	default:
		return fmt.Errorf("get %s: status %d", u, a.Status)
	}
}

// objectURL returns the URL of an object.
func (c *Client) objectURL(key objects.Key) string {
	return c.objects + "/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
}

// Get implements objects.Store.
func (c *Client) Get(ctx context.Context, key objects.Key) (wire.Object, error) {
	var o wire.Object
	err := c.get(ctx, c.objectURL(key), callTimeout, &o)
	return o, err
}

// List implements objects.Store.
func (c *Client) List(ctx context.Context, kind string) (wire.List, error) {
	var l wire.List
	err := c.get(ctx, c.objects+"/objects/"+url.PathEscape(kind), callTimeout, &l)
	return l, err
}

// Watch implements objects.Store.
func (c *Client) Watch(ctx context.Context, kind string, version uint64, wait time.Duration) (wire.List, error) {
	u := fmt.Sprintf("%s/objects/%s?watch=%d&timeout_ms=%d", c.objects, url.PathEscape(kind), version, wait.Milliseconds())
	var l wire.List
	if err := c.get(ctx, u, wait+callTimeout, &l); err != nil {
		return wire.List{}, err
	}
	if l.TooOld {
		return wire.List{}, objects.ErrTooOld
	}
	return l, nil
}

// Put implements objects.Store.
func (c *Client) Put(ctx context.Context, w objects.Write) (uint64, error) {
	if len(w.Value) > maxValueBytes {
		return 0, fmt.Errorf("object %s: value of %d bytes exceeds the store's limit of %d", w.Key, len(w.Value), maxValueBytes)
	}
	a, err := c.calls.Do(ctx, call.Request{
		Method: fasthttp.MethodPut, URL: c.objectURL(w.Key), Body: w.Value, Timeout: callTimeout,
		Headers: [][2]string{
			{wire.HeaderIfVersion, strconv.FormatUint(w.IfVersion, 10)},
			{wire.HeaderWriteID, w.WriteID},
			{fasthttp.HeaderContentType, "application/json"},
		},
	})
	if err != nil {
		return 0, err
	}
	return decodeWrite(w.Key, a)
}

// Delete implements objects.Store.
func (c *Client) Delete(ctx context.Context, key objects.Key, ifVersion uint64) error {
	a, err := c.calls.Do(ctx, call.Request{
		Method: fasthttp.MethodDelete, URL: c.objectURL(key), Timeout: callTimeout,
		Headers: [][2]string{{wire.HeaderIfVersion, strconv.FormatUint(ifVersion, 10)}},
	})
	if err != nil {
		return err
	}
	_, err = decodeWrite(key, a)
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) && conflict.Current == 0 {
		return objects.ErrNotFound
	}
	return err
}

// decodeWrite returns the new version from the response to a write or delete of key, or the error that the response
// stands for.
func decodeWrite(key objects.Key, a call.Response) (uint64, error) {
	switch a.Status {
	case fasthttp.StatusOK, fasthttp.StatusCreated:
		var w wire.WriteResult
		if err := call.Decode(a.Body, &w); err != nil {
			return 0, fmt.Errorf("decode answer to write of %s: %w", key, err)
		}
		return w.Version, nil
	case fasthttp.StatusNotFound:
		return 0, objects.ErrNotFound
	case fasthttp.StatusConflict:
		var w wire.Conflict
		if err := call.Decode(a.Body, &w); err != nil {
			return 0, fmt.Errorf("decode conflict of %s: %w", key, err)
		}
		return 0, &objects.ConflictError{Key: key, Current: w.Current, WriteID: w.WriteID}
	default:
		return 0, fmt.Errorf("write %s: status %d", key, a.Status)
	}
}

// Instances implements objects.InstanceLister. The platform doesn't send a list again that is unchanged since the last
// read: it responds with 304 to the version that this client has.
func (c *Client) Instances(ctx context.Context) (wire.InstanceList, error) {
	q := call.Request{Method: fasthttp.MethodGet, URL: c.instances + wire.PathInstances, Timeout: callTimeout}
	known := c.lastList.Load()
	if known != nil {
		q.Headers = [][2]string{{fasthttp.HeaderIfNoneMatch, wire.InstancesETag(known.Version)}}
	}
	a, err := c.calls.Do(ctx, q)
	if err != nil {
		return wire.InstanceList{}, err
	}
	if a.Status == fasthttp.StatusNotModified && known != nil {
		return *known, nil
	}
	var l wire.InstanceList
	if err := decodeRead(q.URL, a, &l); err != nil {
		return wire.InstanceList{}, err
	}
	c.lastList.Store(&l)
	return l, nil
}
