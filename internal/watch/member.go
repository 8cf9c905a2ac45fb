package watch

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/damaskshelf/damaskshelf/internal/catalog"
	"github.com/damaskshelf/damaskshelf/internal/fleet"
	"github.com/damaskshelf/damaskshelf/internal/objects/wire"
)

// memberMessage is the value of an instance's object.
type memberMessage struct {
	Addr        string  `json:"peer_addr"`
	Incarnation uint64  `json:"incarnation"`
	Domain      string  `json:"failure_domain"`
	CPUShare    float64 `json:"cpu_share"`
	LinkMbps    float64 `json:"link_mbps"`
}

func decodeMember(o wire.Object) (*catalog.Member, error) {
	var m memberMessage
	if err := json.Unmarshal(o.Value, &m); err != nil {
		return nil, fmt.Errorf("instance %q at revision %d: %w", o.Name, o.Version, err)
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil {
		return nil, fmt.Errorf("instance %q at revision %d: peer_addr %q is no IP and port", o.Name, o.Version, m.Addr)
	}
	return &catalog.Member{
		ID: fleet.InstanceID(o.Name), Addr: m.Addr, Incarnation: m.Incarnation,
		Domain: fleet.DomainID(m.Domain), CPUShare: m.CPUShare, LinkMbps: m.LinkMbps, Revision: o.Version,
	}, nil
}

func encodeMember(m *catalog.Member) ([]byte, error) {
	return json.Marshal(memberMessage{Addr: m.Addr, Incarnation: m.Incarnation, Domain: string(m.Domain), CPUShare: m.CPUShare, LinkMbps: m.LinkMbps})
}
