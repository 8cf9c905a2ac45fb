package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

func object(name string, version uint64) wire.Object {
	return wire.Object{Kind: "k", Name: name, Version: version, Value: []byte("{}")}
}

func list(version uint64, all ...wire.Object) wire.List {
	return wire.List{Version: version, Objects: all}
}

// Instances vanish from each other's view right after the start, and dispatchers stand side by side. One
// instance lists the kind, forgets that it knows it, and lists it again; the second list brings one new
// object. The change that it passes on is marked as all there is, yet holds only the new object, and the
// others drop the rest.
func TestASecondFirstListIsPassedOnWhole(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	m := newMirror("k", false)
	m.replace(list(5, object("a", 3)), now)
	m.known = false
	c := m.replace(list(7, object("a", 3), object("b", 6)), now)
	is.True(c.Full)
	is.Equal(len(c.Objects), 2)
	other := newMirror("k", false)
	other.replace(list(5, object("a", 3)), now)
	_, ok := other.offer(c, time.Now())
	is.True(ok)
	is.Equal(len(other.objects), 2)
}

// An upstream that left gets new work again. Two instances read the store; the one that is ahead tells that
// the entry is gone, and then the one that is behind tells an earlier change of the same entry.
func TestAnEarlierChangeBringsNothingBack(t *testing.T) {
	is := is.New(t)
	m := newMirror("k", false)
	m.replace(list(5, object("a", 3)), time.Now())
	_, ok := m.offer(Change{Kind: "k", From: 5, To: 9, Deleted: []string{"a"}}, time.Now())
	is.True(ok)
	m.follow(list(8, object("a", 8)), time.Now())
	is.Equal(len(m.objects), 0)
	m.follow(list(12, object("a", 11)), time.Now()) // it is back
	is.Equal(len(m.objects), 1)
}

// A change whose predecessor is missing is not taken: the copy would look whole and lack something.
func TestAGapIsNoticed(t *testing.T) {
	is := is.New(t)
	m := newMirror("k", false)
	m.replace(list(5, object("a", 3)), time.Now())
	_, ok := m.offer(Change{Kind: "k", From: 8, To: 9, Objects: []wire.Object{object("c", 9)}}, time.Now())
	is.True(!ok)
	is.Equal(len(m.objects), 1)
	is.Equal(m.revision, uint64(5))
}

// All upstreams seem gone when the store comes back after an outage, and requests are refused for two
// seconds. The upstreams could not renew their entries while the store was away, so the entries lapsed;
// living upstreams are back within two seconds.
func TestLapsedEntriesAreKeptForTheGrace(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	m := newMirror("k", true)
	m.replace(list(5, object("a", 3), object("b", 4)), start)
	m.fail(start)
	back := start.Add(3 * time.Second)
	m.succeed(back, back)
	c := m.replace(list(9), back)
	is.Equal(len(c.Deleted), 0)
	is.Equal(len(m.objects), 2)
	m.follow(list(10, object("b", 10)), back.Add(time.Second)) // b is back
	is.Equal(len(m.expire(back.Add(lapseGrace-time.Millisecond)).Deleted), 0)
	c = m.expire(back.Add(lapseGrace))
	is.Equal(c.Deleted, []string{"a"})
	is.Equal(len(m.objects), 1)
}

// A failure domain's engines come back under other names after an outage, and for the rest of the day the fleet sends to
// the old names: who listed the store told all, the entries kept for the grace among them, and a copy that came back from
// another one took them for new.
func TestALapsedEntryThatIsToldBackIsDropped(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	reader, other := newMirror("k", true), newMirror("k", true)
	for _, m := range []*mirror{reader, other} {
		m.replace(list(5, object("a", 3), object("b", 4)), start)
	}
	reader.fail(start)
	back := start.Add(3 * time.Second)
	reader.succeed(back, back)
	reader.known = false // its history is gone
	c := reader.replace(list(9, object("c", 8)), back)
	is.Equal(len(reader.objects), 3)
	_, ok := other.offer(c, back)
	is.True(ok)
	is.Equal(len(other.objects), 3)
	_, ok = reader.offer(other.whole(), back)
	is.True(ok)
	for _, m := range []*mirror{reader, other} { // and a change of before comes once more
		_, ok = m.offer(Change{Kind: "k", From: 3, To: 4, Objects: []wire.Object{object("b", 4)}}, back)
		is.True(ok)
	}
	for _, m := range []*mirror{reader, other} { // each by itself: the reader may be gone by then
		m.expire(back.Add(lapseGrace))
		is.Equal(len(m.objects), 1)
		_, ok = m.offer(Change{Kind: "k", Full: true, From: 4, To: 9, Objects: []wire.Object{object("a", 3), object("c", 8)}}, back.Add(lapseGrace))
		is.True(ok)
		is.Equal(len(m.objects), 1) // a late message brings nothing back
	}
}

// An entry that lapsed and was written anew meanwhile stays, in whatever order the two are told.
func TestAnEntryWrittenAnewIsNotLapsed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	for _, first := range []bool{true, false} {
		m := newMirror("k", true)
		m.replace(list(5, object("a", 3)), now)
		lapsed := Change{Kind: "k", From: 3, To: 6, Lapsing: []string{"a"}}
		anew := Change{Kind: "k", From: 3, To: 7, Objects: []wire.Object{object("a", 7)}}
		all := []Change{lapsed, anew}
		if !first {
			all = []Change{anew, lapsed}
		}
		for _, c := range all {
			_, ok := m.offer(c, now)
			is.True(ok)
		}
		joined := lapsed.Merge(anew)
		is.Equal(len(joined.Lapsing), 0)
		m.expire(now.Add(lapseGrace))
		is.Equal(len(m.objects), 1)
	}
}

// An upstream whose entry goes while the store is sound is gone at once: there is no outage to blame.
func TestAnEntryThatGoesInQuietTimesIsGone(t *testing.T) {
	is := is.New(t)
	m := newMirror("k", true)
	now := time.Now()
	m.replace(list(5, object("a", 3)), now)
	m.fail(now)
	m.succeed(now, now.Add(outage/2)) // one lost call is no outage
	c := m.follow(wire.List{Version: 6, Deleted: []string{"a"}}, now.Add(time.Second))
	is.Equal(c.Deleted, []string{"a"})
}

// A list that is older than the copy is a stale read: it must not take newer objects away.
func TestAStaleListChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newMirror("k", false)
	m.replace(list(9, object("a", 9)), time.Now())
	c := m.replace(list(7), time.Now())
	is.True(c.empty())
	is.Equal(len(m.objects), 1)
}

// A failure domain that was taken back stays out, on one instance and for good. The instance has listed the
// store after the domain's entry went, and then gets a message of before: it never held the entry, and took it
// for new.
func TestAMessageOfBeforeTheCopyBringsNothingBack(t *testing.T) {
	is := is.New(t)
	m := newMirror("k", false)
	m.replace(list(9), time.Now())
	c, ok := m.offer(Change{Kind: "k", From: 2, To: 5, Objects: []wire.Object{object("north", 5)}}, time.Now())
	is.True(ok)
	is.True(c.empty())
	m.known = false // listing again
	_, ok = m.offer(Change{Kind: "k", Full: true, From: 2, To: 5, Objects: []wire.Object{object("north", 5)}}, time.Now())
	is.True(!ok)
	is.Equal(len(m.objects), 0)
}

// An instance sends to an upstream that is gone for the rest of the day. It read the store between two lists of the
// instance that tells the others; the second list showed that one nothing new, and its next change was taken.
func TestAListWithoutNewsTellsWhatIsGone(t *testing.T) {
	is := is.New(t)
	for _, missed := range []bool{false, true} {
		behind, reader := newMirror("k", false), newMirror("k", false)
		reader.replace(list(0), time.Now())
		behind.replace(list(1, object("a", 1)), time.Now())
		none := reader.replace(list(2), time.Now())
		is.True(!none.Full) // hundreds of others lack nothing, and need not be told all
		next := reader.follow(list(3, object("b", 3)), time.Now())
		if !missed {
			_, ok := behind.offer(none, time.Now())
			is.True(ok)
		}
		_, ok := behind.offer(next, time.Now())
		is.Equal(ok, !missed) // it asks for all then
		if missed {
			_, ok = behind.offer(reader.whole(), time.Now())
			is.True(ok)
		}
		is.Equal(len(behind.objects), 1)
	}
}

// An instance sends to an upstream that is gone. The upstream came and went between two reads of the instance
// that tells the others, which never held it and told them nothing of it; theirs did.
func TestWhatCameAndWentIsTold(t *testing.T) {
	is := is.New(t)
	for _, watched := range []bool{true, false} {
		behind := newMirror("k", false)
		behind.replace(list(3, object("a", 3)), time.Now())
		reader := newMirror("k", false)
		reader.replace(list(2), time.Now())
		var c Change
		if watched {
			c = reader.follow(wire.List{Version: 5, Deleted: []string{"a"}, Objects: []wire.Object{object("b", 5)}}, time.Now())
		} else {
			c = reader.replace(list(5, object("b", 5)), time.Now())
		}
		_, ok := behind.offer(c, time.Now())
		is.True(ok)
		_, held := behind.objects["a"]
		is.True(!held)
	}
}
