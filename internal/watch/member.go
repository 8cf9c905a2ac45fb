package watch

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// memberMessage is the JSON value of an instance's entry in the store.
type memberMessage struct {
	Addr        string  `json:"peer_addr"`
	Incarnation uint64  `json:"incarnation"`
	Domain      string  `json:"failure_domain"`
	CPUShare    float64 `json:"cpu_share"`
	LinkMbps    float64 `json:"link_mbps"`
}

// decodeMember decodes an instance's entry. An error names the instance and the invalid field.
func decodeMember(o wire.Object) (*catalog.Member, error) {
	var m memberMessage
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, fmt.Errorf("instance %q at revision %s: %w", o.Name, objects.FormatVersion(o.Version), err)
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil {
		return nil, fmt.Errorf("instance %q at revision %s: peer_addr %q is not an IP address and port", o.Name, objects.FormatVersion(o.Version), m.Addr)
	}
	return &catalog.Member{
		ID: fleet.InstanceID(o.Name), Addr: m.Addr, Incarnation: m.Incarnation,
		Domain: fleet.DomainID(m.Domain), CPUShare: m.CPUShare, LinkMbps: m.LinkMbps, Revision: o.Version,
	}, nil
}

// encodeMember encodes an instance's entry.
func encodeMember(m *catalog.Member) ([]byte, error) {
	return json.Marshal(memberMessage{Addr: m.Addr, Incarnation: m.Incarnation, Domain: string(m.Domain), CPUShare: m.CPUShare, LinkMbps: m.LinkMbps})
}
