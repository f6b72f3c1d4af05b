package node

import (
	"lichenshelf/fleet/members"
)

// NoticeKind is the kind of a change.
type NoticeKind uint8

// Notice is one change, to be logged.
type Notice struct {
	Kind          NoticeKind
	Name, Is, Was string
}

// detectChanges applies a change of the incarnation or of fencing, and adds a notice for each
// change of the members.
func (n *Node) detectChanges(now Time) {
	if n.members.Fenced() && !n.fenced {
		n.fenced = true
		n.ledger.Fence()
		n.notices = append(n.notices, Notice{Kind: Fenced, Name: n.cfg.Self})
	}
	incarnation := n.members.Incarnation()
	n.ledger.SetIncarnation(incarnation)
	n.outliers.SetIncarnation(incarnation)
	n.work.SetIncarnation(incarnation)
	if isIsolated := n.members.Isolated(members.Time(now)); isIsolated != n.isolated {
		n.isolated = isIsolated
		kind := IsolationEnded
		if isIsolated {
			kind = Isolated
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

// Notices returns the changes since the previous call.
func (n *Node) Notices() []Notice {
	out := n.notices
	n.notices = nil
	return out
}
