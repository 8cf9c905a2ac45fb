package command

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/damaskshelf/damaskshelf/internal/claim"
	decideclaim "github.com/damaskshelf/damaskshelf/internal/decide/claim"
	"github.com/damaskshelf/damaskshelf/internal/entry/intake"
	"github.com/damaskshelf/damaskshelf/internal/explain"
	"github.com/damaskshelf/damaskshelf/internal/fault"
	"github.com/damaskshelf/damaskshelf/internal/upstream"
)

// recordWait bounds how long an answer waits for its record. Writes take milliseconds while the store is up;
// while it is down the answer goes out without.
const recordWait = 150 * time.Millisecond

// StoredClaims are Claims that live in the object API.
type StoredClaims struct {
	keeper  *claim.Keeper
	explain *explain.Recorder
}

var _ Claims = (*StoredClaims)(nil)

// NewStoredClaims gives Claims over k; each decision is recorded in rec.
func NewStoredClaims(k *claim.Keeper, rec *explain.Recorder) *StoredClaims {
	return &StoredClaims{keeper: k, explain: rec}
}

// Run implements Claims.
func (c *StoredClaims) Run(ctx context.Context, m intake.Meta, t intake.Call, d Dispatch) (upstream.Answer, bool, error) {
	held, res := c.keeper.Claim(ctx, claim.Request{
		Workspace: string(m.Workspace), Key: m.IdempotencyKey, Fingerprint: fingerprint(t), Deadline: m.Deadline,
	})
	c.explain.Record("claim", string(m.ID), res.Verdict.Reason(), "workspace", m.Workspace, "service", t.Service)
	if held == nil {
		return standing(res)
	}
	a, err := d(ctx)
	if err != nil {
		c.ended(held, fault.From(err))
		return upstream.Answer{}, false, err
	}
	// The caller hears of its booking once the store has it: without that wait an instance that died right
	// after the answer left the key unknown, and the caller's next question was answered so.
	held.RecordWithin(decideclaim.Outcome{
		Run: intake.RunOutcome(a), Status: a.Status, ContentType: a.ContentType, Body: a.Body,
	}, recordWait)
	return a, false, nil
}

// ended keeps what a failed dispatch means for repeats: what certainly did not run may be asked for again
// with the same key, all else is final.
func (c *StoredClaims) ended(held *claim.Grant, e *fault.Error) {
	if e.Run == fault.RunNo {
		held.Withdraw()
		return
	}
	held.Record(decideclaim.Outcome{
		Run: e.Run, Status: e.Kind.Rule().Status, Fault: e.Kind.String(), Body: []byte(e.Detail),
	})
}

// standing answers a request whose key was claimed before.
func standing(res decideclaim.Result) (upstream.Answer, bool, error) {
	if f := res.Fault(); f != nil {
		return upstream.Answer{}, false, f
	}
	o := res.Outcome
	if o.Fault != "" {
		return upstream.Answer{}, true, fault.NewWithRun(kindOf(o.Fault), o.Run, "%s", o.Body)
	}
	return upstream.Answer{Status: o.Status, ContentType: o.ContentType, Body: o.Body}, true, nil
}

// kindOf gives the kind with that wire name. One that this version doesn't know is a failure of the
// upstream, which never says "not run".
func kindOf(name string) fault.Kind {
	for _, k := range fault.Kinds() {
		if k.String() == name {
			return k
		}
	}
	return fault.UpstreamFailed
}

// fingerprint tells requests apart that were given the same key. Each field goes in with its length, so
// that no two requests look alike for where one field ends.
func fingerprint(t intake.Call) string {
	h := sha256.New()
	for _, field := range [][]byte{
		[]byte(t.Service), []byte(t.Method), []byte(t.PathQuery), []byte(t.ContentType), t.Body,
	} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return hex.EncodeToString(h.Sum(nil))
}
