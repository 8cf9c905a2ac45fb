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

// recordTimeout bounds how long an answer waits until its outcome is in the store. Writes take milliseconds while the
// store is available. While it is unavailable, the answer is sent after this time without a stored outcome.
const recordTimeout = 150 * time.Millisecond

// StoredClaims implements Claims with a claim.Keeper, which stores claims in the object store.
type StoredClaims struct {
	keeper  *claim.Keeper
	explain *explain.Recorder
}

var _ Claims = (*StoredClaims)(nil)

// NewStoredClaims returns StoredClaims that use k and record each decision in rec.
func NewStoredClaims(k *claim.Keeper, rec *explain.Recorder) *StoredClaims {
	return &StoredClaims{keeper: k, explain: rec}
}

// Run implements Claims.
func (c *StoredClaims) Run(ctx context.Context, m intake.Meta, call intake.Call, dispatch Dispatch) (upstream.Answer, bool, error) {
	grant, res := c.keeper.Claim(ctx, claim.Request{
		Workspace: string(m.Workspace), Key: m.IdempotencyKey, Fingerprint: fingerprint(call), Deadline: m.Deadline,
	})
	c.explain.Record("claim", string(m.ID), res.Verdict.Reason(), "workspace", m.Workspace, "service", call.Service)
	if grant == nil {
		return earlierOutcome(res)
	}
	a, err := dispatch(ctx)
	if err != nil {
		c.recordFailure(grant, fault.From(err))
		return upstream.Answer{}, false, err
	}
	// The answer waits until the store has the outcome. Otherwise, if the instance died right after the answer, a
	// repeat with the key would be answered with "unknown" although the caller had received the outcome.
	grant.RecordWithin(decideclaim.Outcome{
		Run: intake.RunOutcome(a), Status: a.Status, ContentType: a.ContentType, Body: a.Body,
	}, recordTimeout)
	return a, false, nil
}

// recordFailure ends the claim of a failed dispatch. If the call certainly did not run, the claim is withdrawn and the
// key can be used again. Any other failure is recorded as the final outcome of the key.
func (c *StoredClaims) recordFailure(grant *claim.Grant, failure *fault.Error) {
	if failure.Run == fault.RunNo {
		grant.Withdraw()
		return
	}
	grant.Record(decideclaim.Outcome{
		Run: failure.Run, Status: failure.Kind.Rule().Status, Fault: failure.Kind.String(), Body: []byte(failure.Detail),
	})
}

// earlierOutcome returns the answer or error for a request whose key was not granted. The bool reports whether it is the
// recorded outcome of an earlier run.
func earlierOutcome(res decideclaim.Result) (upstream.Answer, bool, error) {
	if f := res.Fault(); f != nil {
		return upstream.Answer{}, false, f
	}
	o := res.Outcome
	if o.Fault != "" {
		return upstream.Answer{}, true, fault.NewWithRun(faultKind(o.Fault), o.Run, "%s", o.Body)
	}
	if o.Status == 0 { // the HTTP library would answer with success
		return upstream.Answer{}, true, fault.NewWithRun(fault.UpstreamFailed, o.Run, "the recorded outcome has no status")
	}
	return upstream.Answer{Status: o.Status, ContentType: o.ContentType, Body: o.Body}, true, nil
}

// faultKind returns the kind with the given wire name. A name that this version doesn't know becomes UpstreamFailed,
// which never stands for "not run".
func faultKind(name string) fault.Kind {
	for _, k := range fault.Kinds() {
		if k.String() == name {
			return k
		}
	}
	return fault.UpstreamFailed
}

// fingerprint returns a hash of the call, by which different calls with the same key are distinguished. Each field is
// hashed with its length, so that moving bytes from one field to the next changes the hash.
func fingerprint(call intake.Call) string {
	h := sha256.New()
	for _, field := range [][]byte{
		[]byte(call.Service), []byte(call.Method), []byte(call.PathQuery), []byte(call.ContentType), call.Body,
	} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write(field)
	}
	return hex.EncodeToString(h.Sum(nil))
}
