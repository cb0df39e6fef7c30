package peers

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
)

const pullTimeout = 2 * time.Second

// Pull returns a list in force.
func (s *Service) Pull(_ context.Context, in *peerwire.PullRequest) (*peerwire.PullReply, error) {
	list := s.holder.Load().Lists[lists.Name(in.GetList())]
	if list.Version <= in.GetNewerThan() {
		return &peerwire.PullReply{}, nil
	}
	return &peerwire.PullReply{Version: list.Version, Body: list.Body}, nil
}

// pullNewer pulls the lists of which the digest's sender holds newer versions.
func (s *Service) pullNewer(ctx context.Context, d *peerwire.Digest) {
	held := s.holder.Load().Lists
	for _, name := range lists.Names() {
		if d.GetVersions()[string(name)] <= held[name].Version {
			continue
		}
		if err := s.pull(ctx, d.GetAddress(), name, held[name].Version); err != nil {
			s.log.Debugf("pull %s from %s: %v", name, d.GetAddress(), err)
		}
	}
}

func (s *Service) pull(ctx context.Context, address string, name lists.Name, newerThan uint64) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client, err := s.links.Client(address)
	if err != nil {
		return err
	}
	reply, err := client.Pull(ctx, &peerwire.PullRequest{List: string(name), NewerThan: newerThan})
	if err != nil {
		return errors.WithStack(err)
	}
	if reply.GetVersion() > 0 {
		s.control.Send(control.ListArrived{Name: name, Version: reply.GetVersion(), Body: reply.GetBody(), Source: address})
	}
	return nil
}
