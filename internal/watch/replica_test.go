package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// newTestReplica returns an empty copy of the kind "k", which may keep entries that vanish during an outage.
func newTestReplica(keepsLapsed bool) *replica {
	var keeps retention
	if keepsLapsed {
		keeps = retention{outageGrace: lapseGrace, restoreGrace: lapseGrace}
	}
	return newReplica("k", keeps)
}

// object returns an object of kind "k".
func object(name string, version uint64) wire.Object {
	return wire.Object{Kind: "k", Name: name, Version: version, Value: []byte("{}")}
}

// list returns a full list as of a version.
func list(version uint64, all ...wire.Object) wire.List {
	return wire.List{Version: version, Objects: all}
}

// An instance lists a kind and later has to list it again, as after the store has dropped its history. The second list
// contains one new object. Guards against a change that is marked as a full copy but contains only the new object:
// other instances would remove the rest, so that instances don't list each other after the start and several act as
// dispatcher.
func TestRelistIsPassedOnAsFullCopy(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newTestReplica(false)
	r.applyList(list(5, object("a", 3)), now)
	r.known = false
	c := r.applyList(list(7, object("a", 3), object("b", 6)), now)
	is.True(c.Full)
	is.Equal(len(c.Objects), 2)
	other := newTestReplica(false)
	other.applyList(list(5, object("a", 3)), now)
	_, ok := other.applyChange(c, time.Now())
	is.True(ok)
	is.Equal(len(other.objects), 2)
}

// Two instances read the store. The one that is ahead reports that an entry is deleted, and then the one that is behind
// reports an earlier change of the same entry. Guards against an upstream that has left and gets work again.
func TestEarlierChangeDoesNotRestoreDeletedObject(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(false)
	r.applyList(list(5, object("a", 3)), time.Now())
	_, ok := r.applyChange(Change{Kind: "k", From: 5, To: 9, Deleted: []string{"a"}}, time.Now())
	is.True(ok)
	r.applyWatch(list(8, object("a", 8)), time.Now())
	is.Equal(len(r.objects), 0)
	r.applyWatch(list(12, object("a", 11)), time.Now()) // the object is created again
	is.Equal(len(r.objects), 1)
}

// A change whose predecessor is missing must be rejected. Otherwise the copy would seem complete and lack objects.
func TestChangeAfterGapIsRejected(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(false)
	r.applyList(list(5, object("a", 3)), time.Now())
	_, ok := r.applyChange(Change{Kind: "k", From: 8, To: 9, Objects: []wire.Object{object("c", 9)}}, time.Now())
	is.True(!ok)
	is.Equal(len(r.objects), 1)
	is.Equal(r.revision, uint64(5))
}

// Upstreams can't renew their entries during an outage of the store, so the entries lapse. Running upstreams write them
// again within two seconds of its end. Guards against treating all upstreams as gone until then, which would refuse
// requests for two seconds.
func TestLapsedEntriesAreKeptForGracePeriod(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	r := newTestReplica(true)
	r.applyList(list(5, object("a", 3), object("b", 4)), start)
	r.readFailed(start)
	availableAt := start.Add(3 * time.Second)
	r.readSucceeded(availableAt, availableAt)
	c := r.applyList(list(9), availableAt)
	is.Equal(len(c.Deleted), 0)
	is.Equal(len(r.objects), 2)
	r.applyWatch(list(10, object("b", 10)), availableAt.Add(time.Second)) // b is back
	is.Equal(len(r.endGracePeriods(availableAt.Add(lapseGrace-time.Millisecond)).Deleted), 0)
	c = r.endGracePeriods(availableAt.Add(lapseGrace))
	is.Equal(c.Deleted, []string{"a"})
	is.Equal(len(r.objects), 1)
}

// After an outage, the engines of a failure domain come back under other names. Guards against a fleet that sends to
// the old names for the rest of the day: the reader sends a full copy that includes the entries in their grace period,
// and gets it back from another copy, as if these entries were new.
func TestLapsedEntryFromAnotherCopyExpires(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	reader, other := newTestReplica(true), newTestReplica(true)
	for _, r := range []*replica{reader, other} {
		r.applyList(list(5, object("a", 3), object("b", 4)), start)
	}
	reader.readFailed(start)
	availableAt := start.Add(3 * time.Second)
	reader.readSucceeded(availableAt, availableAt)
	reader.known = false // the store has dropped its history
	c := reader.applyList(list(9, object("c", 8)), availableAt)
	is.Equal(len(reader.objects), 3)
	_, ok := other.applyChange(c, availableAt)
	is.True(ok)
	is.Equal(len(other.objects), 3)
	_, ok = reader.applyChange(other.fullCopy(), availableAt)
	is.True(ok)
	for _, r := range []*replica{reader, other} { // an earlier change arrives again
		_, ok = r.applyChange(Change{Kind: "k", From: 3, To: 4, Objects: []wire.Object{object("b", 4)}}, availableAt)
		is.True(ok)
	}
	for _, r := range []*replica{reader, other} { // each copy by itself: the reader may be gone by then
		r.endGracePeriods(availableAt.Add(lapseGrace))
		is.Equal(len(r.objects), 1)
		_, ok = r.applyChange(Change{Kind: "k", Full: true, From: 4, To: 9, Objects: []wire.Object{object("a", 3), object("c", 8)}}, availableAt.Add(lapseGrace))
		is.True(ok)
		is.Equal(len(r.objects), 1) // a late message restores nothing
	}
}

// An entry that lapsed and was written again must stay, in whichever order the two changes arrive.
func TestRewrittenEntryDoesNotLapse(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, lapseFirst := range []bool{true, false} {
		r := newTestReplica(true)
		r.applyList(list(5, object("a", 3)), now)
		lapsed := Change{Kind: "k", From: 3, To: 6, Lapsing: []string{"a"}}
		rewritten := Change{Kind: "k", From: 3, To: 7, Objects: []wire.Object{object("a", 7)}}
		changes := []Change{lapsed, rewritten}
		if !lapseFirst {
			changes = []Change{rewritten, lapsed}
		}
		for _, c := range changes {
			_, ok := r.applyChange(c, now)
			is.True(ok)
		}
		merged := lapsed.Merge(rewritten)
		is.Equal(len(merged.Lapsing), 0)
		r.endGracePeriods(now.Add(lapseGrace))
		is.Equal(len(r.objects), 1)
	}
}

// An upstream whose entry is deleted while the store is available must be removed at once, because no outage explains
// the deletion.
func TestEntryDeletedWithoutOutageIsRemovedAtOnce(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(true)
	now := time.Now()
	r.applyList(list(5, object("a", 3)), now)
	r.readFailed(now)
	r.readSucceeded(now, now.Add(minOutage/2)) // a single failed call isn't an outage
	c := r.applyWatch(wire.List{Version: 6, Deleted: []string{"a"}}, now.Add(time.Second))
	is.Equal(c.Deleted, []string{"a"})
}

// A list that is older than the copy is a stale read. It must not remove newer objects.
func TestStaleListChangesNothing(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(false)
	r.applyList(list(9, object("a", 9)), time.Now())
	c := r.applyList(list(7), time.Now())
	is.True(c.empty())
	is.Equal(len(r.objects), 1)
}

// Guards against a failure domain that is back in service but stays out of service on one instance permanently. The
// instance lists the store after the domain's entry was deleted and then receives an older message. It never held the
// entry, so the entry could be mistaken for a new one.
func TestMessageOlderThanCopyRestoresNothing(t *testing.T) {
	is := is.New(t)
	r := newTestReplica(false)
	r.applyList(list(9), time.Now())
	c, ok := r.applyChange(Change{Kind: "k", From: 2, To: 5, Objects: []wire.Object{object("north", 5)}}, time.Now())
	is.True(ok)
	is.True(c.empty())
	r.known = false // the next read is a list
	_, ok = r.applyChange(Change{Kind: "k", Full: true, From: 2, To: 5, Objects: []wire.Object{object("north", 5)}}, time.Now())
	is.True(!ok)
	is.Equal(len(r.objects), 0)
}

// Guards against an instance that keeps sending to an upstream that is gone. It read the store between two lists of the
// reader. The second list changed nothing in the reader's copy, so only an empty span shows the instance that an object
// it holds is gone.
func TestUnchangedListReportsEmptySpan(t *testing.T) {
	is := is.New(t)
	for _, missed := range []bool{false, true} {
		behind, reader := newTestReplica(false), newTestReplica(false)
		reader.applyList(list(0), time.Now())
		behind.applyList(list(1, object("a", 1)), time.Now())
		unchanged := reader.applyList(list(2), time.Now())
		is.True(!unchanged.Full) // hundreds of other instances lack nothing and don't need a full copy
		next := reader.applyWatch(list(3, object("b", 3)), time.Now())
		if !missed {
			_, ok := behind.applyChange(unchanged, time.Now())
			is.True(ok)
		}
		_, ok := behind.applyChange(next, time.Now())
		is.Equal(ok, !missed) // if rejected, the instance requests a full copy
		if missed {
			_, ok = behind.applyChange(reader.fullCopy(), time.Now())
			is.True(ok)
		}
		is.Equal(len(behind.objects), 1)
	}
}

// Guards against an instance that keeps sending to an upstream that is gone. The upstream appeared and left between two
// reads of the reader, which never held it, but the copy of the instance did. The reader's change must still remove it.
func TestUnseenDeletionIsPassedOn(t *testing.T) {
	is := is.New(t)
	for _, watched := range []bool{true, false} {
		behind := newTestReplica(false)
		behind.applyList(list(3, object("a", 3)), time.Now())
		reader := newTestReplica(false)
		reader.applyList(list(2), time.Now())
		var c Change
		if watched {
			c = reader.applyWatch(wire.List{Version: 5, Deleted: []string{"a"}, Objects: []wire.Object{object("b", 5)}}, time.Now())
		} else {
			c = reader.applyList(list(5, object("b", 5)), time.Now())
		}
		_, ok := behind.applyChange(c, time.Now())
		is.True(ok)
		_, held := behind.objects["a"]
		is.True(!held)
	}
}

// A copy that drops an object at the end of its grace period differs from the one before, although the store's revision is
// the same.
func TestEndedGraceChangesSerial(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	r := newTestReplica(true)
	r.applyList(wire.List{Version: 5, Objects: []wire.Object{object("o", 5)}}, now)
	r.availableSince = now
	r.applyList(wire.List{Version: 6}, now)
	before := r.fullCopy()
	r.endGracePeriods(now.Add(lapseGrace))
	after := r.fullCopy()
	is.Equal(before.From, after.From)
	is.True(before.Serial != after.Serial)
}
