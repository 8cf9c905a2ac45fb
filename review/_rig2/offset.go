package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// offsetStore stands before the stand-in of the store and shifts its revision counter, so that it starts at another number above 0.
// All else is passed on as it is.
type offsetStore struct {
	target string
	offset uint64
	http   *http.Server
	addr   string
}

func newOffsetStore(target string, offset uint64) (*offsetStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &offsetStore{target: target, offset: offset, addr: l.Addr().String()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

// noRevision is a revision that no object has.
const noRevision = 1 << 62

// inner returns the target's number for a revision that a caller names. ok is false for one before the first.
func (s *offsetStore) inner(revision uint64) (inner uint64, ok bool) {
	return revision - s.offset, revision > s.offset
}

// ServeHTTP implements http.Handler.
func (s *offsetStore) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	for _, name := range []string{"watch", "revision"} {
		text := query.Get(name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 64)
		inner, ok := s.inner(n)
		switch {
		case err != nil:
			rw.WriteHeader(http.StatusBadRequest)
			return
		case !ok && name == "watch":
			rw.WriteHeader(http.StatusGone) // the history before the first change is gone
			return
		case !ok:
			inner = noRevision
		}
		query.Set(name, strconv.FormatUint(inner, 10))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+s.target+r.URL.EscapedPath()+"?"+query.Encode(), bytes.NewReader(s.shiftBody(body, func(n uint64) uint64 {
		if inner, ok := s.inner(n); ok {
			return inner
		}
		return noRevision
	})))
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	out.Header = r.Header
	resp, err := http.DefaultClient.Do(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(resp.StatusCode)
	_, _ = rw.Write(s.shiftBody(answer, func(n uint64) uint64 { return n + s.offset }))
}

// shiftBody changes the store's revisions in a body: metadata.revision and as_of. What writers have stored isn't touched.
func (s *offsetStore) shiftBody(body []byte, shift func(uint64) uint64) []byte {
	if len(bytes.TrimSpace(body)) == 0 {
		return body
	}
	d := json.NewDecoder(bytes.NewReader(body))
	d.UseNumber()
	var v any
	if d.Decode(&v) != nil {
		return body
	}
	shiftRevisions(v, shift)
	out, err := json.Marshal(v)
	if err != nil {
		return body
	}
	return out
}

func shiftRevisions(v any, shift func(uint64) uint64) {
	switch v := v.(type) {
	case []any:
		for _, e := range v {
			shiftRevisions(e, shift)
		}
	case map[string]any:
		for name, value := range v {
			number, isNumber := value.(json.Number)
			switch {
			case name == "spec":
			case isNumber && (name == "revision" || name == "as_of"):
				if n, err := strconv.ParseUint(strings.TrimSpace(number.String()), 10, 64); err == nil && n > 0 {
					v[name] = json.Number(strconv.FormatUint(shift(n), 10))
				}
			default:
				shiftRevisions(value, shift)
			}
		}
	}
}
