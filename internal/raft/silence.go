package raft

import (
	"time"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
)

// SinceLastAck returns the time since the leader sent the latest message that a member has
// answered. It includes the time under earlier leaders, once the member has left the messages of
// this one unanswered for an election timeout.
func (r *Raft) SinceLastAck(id ReplicaID) time.Duration {
	p, ok := r.progress[id]
	if !ok || id == r.c.ID {
		return 0
	}
	if d := r.now - p.ackedSentAt; d < r.c.ElectionTimeout {
		return d
	}
	return r.now - p.heardAt
}

// CaughtUp reports whether a member answers this leader and holds nearly all committed entries.
func (r *Raft) CaughtUp(id ReplicaID) bool {
	p, ok := r.progress[id]
	return ok && p.replied && r.now-p.ackedSentAt < r.c.ElectionTimeout && p.match+maxCatchUpLag >= r.log.commit
}

// listSilences returns the members that have been silent for an election timeout. Followers
// receive them with each append message, so that the time counts under the next leader too.
func (r *Raft) listSilences() []*eelpb.Silence {
	var out []*eelpb.Silence
	for _, m := range r.members.Members {
		p, ok := r.progress[ReplicaID(m.Id)]
		if !ok || ReplicaID(m.Id) == r.c.ID || r.now-p.heardAt < r.c.ElectionTimeout {
			continue
		}
		out = append(out, &eelpb.Silence{Id: m.Id, Incarnation: m.Incarnation, Ms: (r.now - p.heardAt).Milliseconds()})
	}
	return out
}

// recordSilences records what an append message says of silent members.
func (r *Raft) recordSilences(m *eelpb.Message) {
	r.silences, r.silencesAt = m.Silences, r.now
}

// inheritSilences makes a new leader count the silence of members from when earlier leaders last
// heard them, and that of the former leader from its last message.
func (r *Raft) inheritSilences() {
	for _, s := range r.silences {
		id := ReplicaID(s.Id)
		p, ok := r.progress[id]
		if ok && findMember(r.members, id).Incarnation == s.Incarnation {
			p.heardAt = min(p.heardAt, r.silencesAt-time.Duration(s.Ms)*time.Millisecond)
		}
	}
	if p, ok := r.progress[r.contactLeader]; ok && r.contactLeader != r.c.ID {
		p.heardAt = min(p.heardAt, r.leaderContactAt)
	}
}
