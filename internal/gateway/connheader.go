package gateway

import (
	"slices"
	"strings"

	"github.com/valyala/fasthttp"
)

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	fasthttp.HeaderConnection, "Keep-Alive", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding,
	fasthttp.HeaderUpgrade, "Proxy-Connection", fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	fasthttp.HeaderExpect,
}

// endToEnd lists the headers of HTTP that are meant for the last receiver of a message. RFC 9110, section 7.6.1, forbids senders
// to list them in Connection.
var endToEnd = []string{
	"Accept", "Accept-Charset", "Accept-Encoding", "Accept-Language", "Accept-Ranges", "Age", "Allow", "Authorization", "Cache-Control",
	"Content-Disposition", "Content-Encoding", "Content-Language", "Content-Length", "Content-Location", "Content-Range", "Content-Type",
	"Cookie", "Date", "ETag", "Expires", "From", "Host", "If-Match", "If-Modified-Since", "If-None-Match", "If-Range",
	"If-Unmodified-Since", "Last-Modified", "Link", "Location", "Max-Forwards", "Origin", "Pragma", "Range", "Referer", "Retry-After",
	"Server", "Set-Cookie", "User-Agent", "Vary", "Via", "Warning", "WWW-Authenticate",
}

// concernsConnection reports whether a header concerns one connection only. listed are the headers that the message itself names
// as such, as connectionHeaders returns them.
func concernsConnection(name []byte, listed []string) bool {
	isName := func(other string) bool { return equalsFold(name, other) }
	return slices.ContainsFunc(hopByHop, isName) || slices.ContainsFunc(listed, isName)
}

// connectionHeaders returns the headers that the Connection headers of a message name as its own, but for those that are meant
// for every receiver: without its id, a request would run and its answer belong to nobody.
func connectionHeaders(lists [][]byte, d Dialect) []string {
	var names []string
	for _, list := range lists {
		for name := range strings.SplitSeq(string(list), ",") {
			name = strings.Trim(name, " \t")
			if name != "" && !isConnectionOption(name) && !isMeantForAll(name, d) {
				names = append(names, name)
			}
		}
	}
	return names
}

// isConnectionOption reports whether an entry of a Connection header states whether the connection stays open.
func isConnectionOption(name string) bool {
	return strings.EqualFold(name, "close") || strings.EqualFold(name, "keep-alive")
}

// isMeantForAll reports whether a header is meant for every receiver of a message.
func isMeantForAll(name string, d Dialect) bool {
	return slices.ContainsFunc(endToEnd, func(other string) bool { return strings.EqualFold(name, other) }) || d.IsProtocolHeader(name)
}

// equalsFold reports whether b is s but for the case of its letters.
func equalsFold(b []byte, s string) bool { return len(b) == len(s) && strings.EqualFold(string(b), s) }
