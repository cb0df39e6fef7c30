package peers

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"

	"github.com/baobabstack/baobabstack/internal/defect"
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
)

// offer gives this entry's VM list to a peer that has none. A new entry finds
// its peers so while the configuration service does not answer; all other lists
// it asks for itself.
func (s *Service) offer(ctx context.Context, address string, d *peerwire.Digest) {
	list := s.holder.Load().Lists[lists.VMsName]
	if list.Version == 0 || d.GetVersions()[string(lists.VMsName)] > 0 || defect.On("config-no-offer") {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client, err := s.links.Client(address)
	if err != nil {
		return
	}
	in := &peerwire.OfferRequest{Version: list.Version, Body: list.Body}
	if _, err := client.Offer(ctx, in, grpc.UseCompressor(gzip.Name)); err != nil {
		s.log.Debugf("offer the VM list to %s: %v", address, err)
	}
}

// Offer takes a VM list only while this entry has none, so that no other entry
// can change where it connects to.
func (s *Service) Offer(_ context.Context, in *peerwire.OfferRequest) (*peerwire.OfferReply, error) {
	if s.holder.Load().VMs == nil {
		s.control.Send(control.ListArrived{
			Name: lists.VMsName, Version: in.GetVersion(), Body: in.GetBody(), Source: "an offer", Peer: true,
		})
	}
	return &peerwire.OfferReply{}, nil
}
