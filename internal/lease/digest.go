package lease

import (
	"hash/fnv"

	"github.com/eelgrassroad/eelgrassroad/internal/eelpb"
	"google.golang.org/protobuf/proto"
)

// An entry and the leader omit what has not changed since the last renewal and identify it by
// a digest. Zero means that there is no digest.

// TargetsDigest returns the digest of target reports. It depends on their order.
func TargetsDigest(targets []*eelpb.TargetReport) uint64 {
	return digest(&eelpb.RenewRequest{Targets: targets})
}

// holdsDigest returns the digest of the owned targets and the target owners of a reply.
func holdsDigest(a *eelpb.RenewReply) uint64 {
	return digest(&eelpb.RenewReply{Owned: a.Owned, Owners: a.Owners})
}

func digest(m proto.Message) uint64 {
	h := fnv.New64a()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		// Without a digest, the next message is sent in full.
		return 0
	}
	h.Write(b)
	return h.Sum64()
}
