package quota

import "github.com/marjoramcroft/marjoramcroft/ident"

// syncNumbers holds the numbers under which the keeper knows a holder and its members, so that
// a Sync can leave out their names. It is reset after a failed exchange and in a new epoch.
// The zero value has no numbers.
type syncNumbers struct {
	peer    uint64
	members map[ident.MemberID]uint64 // starting at 1
}

// compact returns msg without the names that the keeper knows, and with numbers for new
// members.
func (n *syncNumbers) compact(msg Sync) Sync {
	if n.peer != 0 {
		msg.Service, msg.Addr, msg.Peer = "", "", n.peer
	}
	next := uint64(len(n.members))
	uses := make([]Use, len(msg.Uses))
	for i, u := range msg.Uses {
		if number, ok := n.members[u.Member]; ok {
			u.Number, u.Member = number, ""
		} else {
			next++
			u.Number = next
		}
		uses[i] = u
	}
	msg.Uses = uses
	return msg
}

// confirm records the numbers in sent, the compact form of msg, after the keeper has answered
// it.
func (n *syncNumbers) confirm(msg, sent Sync, g Grant) {
	if g.Peer != 0 {
		n.peer, n.members = g.Peer, map[ident.MemberID]uint64{}
	}
	if n.peer == 0 {
		return
	}
	for i, u := range sent.Uses {
		n.members[msg.Uses[i].Member] = u.Number
	}
}

// reset makes the next Sync a full one.
func (n *syncNumbers) reset() { *n = syncNumbers{} }
