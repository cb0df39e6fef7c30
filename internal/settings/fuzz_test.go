package settings

import "testing"

func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", "[entry]\nid = 1", "[callers]\nmax_body_bytes = -1", "[callers.tls]\ncert_file = \"x\"", "[log]\nlevel = \"loud\"", "x", "[peers.tls]",
		"[entry]\nid=\"a\"\ndata_centre=\"b\"\n[callers]\naddress=\"127.0.0.1:1\"\n[peers]\naddress=\"127.0.0.1:2\"\n[admin]\naddress=\"[::1]:3\"\n[configuration]\nurl=\"http://127.0.0.1:4\"",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, faults := Parse("settings.toml", data)
		if (s == nil) == (len(faults) == 0) {
			t.Fatalf("settings %+v with faults %v", s, faults)
		}
		if s != nil && (s.Entry.DataCentre == "" || s.Callers.MemoryBytes < s.Callers.MaxBodyBytes) {
			t.Fatalf("accepted %+v", s)
		}
	})
}
