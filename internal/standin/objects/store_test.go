package objects_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
	"github.com/damaskshelf/damaskshelf/internal/standin/objects"
)

func versionPtr(v uint64) *uint64 { return &v }

func TestConditionalWrites(t *testing.T) {
	is := is.New(t)
	s := objects.NewStore(objects.DefaultHistorySize)
	first, conflict := s.Put("config", "a", versionPtr(0), "w1", []byte(`1`))
	is.True(conflict == nil)

	_, conflict = s.Put("config", "a", versionPtr(0), "w2", []byte(`2`)) // exists already
	is.Equal(conflict, &wire.Conflict{Current: first.Version, WriteID: "w1"})
	_, conflict = s.Put("config", "a", versionPtr(first.Version+1), "w2", []byte(`2`))
	is.Equal(conflict, &wire.Conflict{Current: first.Version, WriteID: "w1"})

	second, conflict := s.Put("config", "a", versionPtr(first.Version), "w2", []byte(`2`))
	is.True(conflict == nil)
	is.True(second.Version > first.Version)
	third, conflict := s.Put("config", "a", nil, "w3", []byte(`3`)) // unconditional
	is.True(conflict == nil)
	o, found := s.Get("config", "a")
	is.True(found)
	is.Equal(o, wire.Object{Kind: "config", Name: "a", Version: third.Version, WriteID: "w3", Value: []byte(`3`)})
}

func TestDeleteLeavesATombstone(t *testing.T) {
	is := is.New(t)
	s := objects.NewStore(objects.DefaultHistorySize)
	put, _ := s.Put("config", "a", nil, "w1", []byte(`1`))
	_, conflict := s.Delete("config", "a", versionPtr(put.Version+1), "d1")
	is.Equal(conflict, &wire.Conflict{Current: put.Version, WriteID: "w1"})
	deleted, conflict := s.Delete("config", "a", versionPtr(put.Version), "d1")
	is.True(conflict == nil)

	o, found := s.Get("config", "a")
	is.True(!found)
	is.Equal(o.WriteID, "d1") // identifies the deletion to its writer
	_, conflict = s.Put("config", "a", versionPtr(put.Version), "w2", []byte(`2`))
	is.Equal(conflict, &wire.Conflict{Current: 0, WriteID: "d1"})
	list, _ := s.ChangesSince("config", put.Version)
	is.Equal(list.Deleted, []string{"a"})
	recreated, conflict := s.Put("config", "a", versionPtr(0), "w2", []byte(`2`))
	is.True(conflict == nil)
	is.True(recreated.Version > deleted.Version)
}

func TestChangesSinceReturnsLatestStateOfOneKind(t *testing.T) {
	is := is.New(t)
	s := objects.NewStore(objects.DefaultHistorySize)
	start := s.Version()
	_, _ = s.Put("config", "b", nil, "", []byte(`1`))
	_, _ = s.Put("lease", "x", nil, "", []byte(`1`))
	_, _ = s.Put("config", "a", nil, "", []byte(`1`))
	_, _ = s.Put("config", "b", nil, "", []byte(`2`))
	list, _ := s.ChangesSince("config", start)
	is.Equal(list.Version, s.Version())
	is.Equal(len(list.Objects), 2)
	is.Equal(list.Objects[0].Name, "a")
	is.Equal(string(list.Objects[1].Value), `2`)
	list, changed := s.ChangesSince("config", s.Version())
	is.Equal(len(list.Objects), 0)
	_, _ = s.Put("config", "c", nil, "", []byte(`1`))
	<-changed
}

func TestChangesSinceReportsTooOldVersions(t *testing.T) {
	is := is.New(t)
	const historySize = 4
	s := objects.NewStore(historySize)
	for n := range 2 * historySize {
		_, _ = s.Put("config", fmt.Sprint(n), nil, "", []byte(`1`))
	}
	last := s.Version()
	list, _ := s.ChangesSince("config", last-historySize)
	is.True(!list.TooOld)
	is.Equal(len(list.Objects), historySize)
	list, _ = s.ChangesSince("config", last-historySize-1)
	is.True(list.TooOld)
	list, _ = s.ChangesSince("config", last+1) // a version of another store
	is.True(list.TooOld)
}
