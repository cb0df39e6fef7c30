package admin

import (
	"encoding/json"
	"net/http"

	"github.com/baobabstack/baobabstack/internal/journal"
)

// entries answers GET /journal?part=P&subject=S with the decisions kept, oldest
// first; an empty filter matches all.
func (s *Service) entries(w http.ResponseWriter, r *http.Request) {
	part, subject := r.FormValue("part"), r.FormValue("subject")
	matching := []journal.Entry{}
	for _, e := range journal.Default().Entries() {
		if (part == "" || e.Part == part) && (subject == "" || e.Subject == subject) {
			matching = append(matching, e)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(matching)
}
