package node

import (
	"lichenshelf/fleet/members"
)

// NoticeKind says what has changed.
type NoticeKind uint8

// Notice is one change, for a log.
type Notice struct {
	Kind          NoticeKind
	Name, Is, Was string
}

// notice looks for what has changed.
func (n *Node) notice(now Time) {
	if n.members.Fenced() && !n.fenced {
		n.fenced = true
		n.ledger.Fence()
		n.notices = append(n.notices, Notice{Kind: Fenced, Name: n.cfg.Self})
	}
	life := n.members.Life()
	n.ledger.SetIncarnation(life)
	n.outliers.SetLife(life)
	n.work.SetLife(life)
	if deaf := n.members.Deaf(members.Time(now)); deaf != n.deaf {
		n.deaf = deaf
		kind := Hears
		if deaf {
			kind = Deaf
		}
		n.notices = append(n.notices, Notice{Kind: kind, Name: n.cfg.Self})
	}
	for _, r := range n.members.Routers(members.Time(now)) {
		was, ok := n.states[r.Name]
		n.states[r.Name] = r.State
		if ok && r.State != was {
			n.notices = append(n.notices, Notice{RouterChanged, r.Name, r.State.String(), was.String()})
		}
	}
}

// Notices returns what has changed since it was asked last.
func (n *Node) Notices() []Notice {
	out := n.notices
	n.notices = nil
	return out
}
