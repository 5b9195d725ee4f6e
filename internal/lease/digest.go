package lease

import (
	"hash/fnv"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"google.golang.org/protobuf/proto"
)

// An entry and the leader leave out what did not change since the last renewal,
// and name it by a digest. Zero is no digest of anything.

// TargetsDigest returns the digest of reports in their order.
func TargetsDigest(targets []*eelpb.TargetReport) uint64 {
	return digest(&eelpb.RenewRequest{Targets: targets})
}

// holdsDigest returns the digest of the targets of a reply.
func holdsDigest(a *eelpb.RenewReply) uint64 {
	return digest(&eelpb.RenewReply{Owned: a.Owned, Owners: a.Owners})
}

func digest(m proto.Message) uint64 {
	h := fnv.New64a()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Without a digest everything is sent.
		return 0
	}
	h.Write(b)
	return h.Sum64()
}
