package peers

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/peerwire"
	"github.com/baobabstack/baobabstack/internal/standin"
	"github.com/baobabstack/baobabstack/internal/supervisor/control"
	"github.com/baobabstack/baobabstack/internal/view"
)

// FuzzDigest gives any digest to an entry whose VM list names no other VM.
func FuzzDigest(f *testing.F) {
	for _, d := range []*peerwire.Digest{
		{},
		{Address: "127.0.0.1:9", Versions: map[string]uint64{"plans": 1 << 63, "unknown": 1, "": 2}},
		{Address: "not an address", Incarnation: bytes.Repeat([]byte{1}, 1<<12), Leaving: true},
	} {
		data, err := proto.Marshal(d)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	const self = "127.0.0.1:1"
	holder := &view.Holder{}
	holder.Store(&view.Snapshot{VMs: []lists.VM{{ID: "vm-1", Address: self}}})
	s := NewService(self, holder, nil, NewLinks(), nil, 0)
	f.Fuzz(func(t *testing.T, data []byte) {
		d := &peerwire.Digest{}
		if proto.Unmarshal(data, d) != nil {
			return
		}
		if _, err := s.Exchange(t.Context(), d); err != nil {
			t.Fatal(err)
		}
		if len(s.links.links) != 0 {
			t.Fatalf("a connection to %q", d.GetAddress())
		}
	})
}

// FuzzPulledList gives any list as a peer would to control, which must end with
// lists that fit each other.
func FuzzPulledList(f *testing.F) {
	f.Add("plans", uint64(2), standin.SamplePlans(), true)
	f.Add("allowances", uint64(1)<<63, standin.SampleAllowances(), false)
	f.Add("servers", uint64(3), []byte(`{"servers":[]}`), true)
	f.Add("vms", uint64(1), bytes.Repeat([]byte("{"), lists.MaxBytes+1), false)
	f.Add("unknown", uint64(1), []byte("x"), true)
	f.Fuzz(func(t *testing.T, name string, version uint64, body []byte, compared bool) {
		n := newNode(t, "127.0.0.1:1")
		ctx := t.Context()
		done := make(chan struct{})
		go func() { _ = n.control.Serve(ctx); close(done) }()
		n.control.Send(control.PeersAsked{})
		n.give(lists.PlansName, 1, standin.SamplePlans())
		n.give(lists.AllowancesName, 1, standin.SampleAllowances())
		n.control.Send(control.ListArrived{Name: lists.Name(name), Version: version, Body: body, Source: "peer", Peer: true, Compared: compared})
		n.control.Send(control.StopRequested{})
		eventually(t, "the end of the events", func() bool { return n.holder.Load().Leaving })
		s := n.holder.Load()
		if s.Plans == nil || s.Allowances == nil || len(lists.CrossCheck("plans", s.Plans, s.Allowances)) > 0 {
			t.Fatalf("plans %v do not fit allowances %v", s.Plans, s.Allowances)
		}
	})
}
