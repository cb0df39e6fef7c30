package admin

import (
	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/view"
)

// ListStatus is the state of one list in Status.
type ListStatus struct {
	// Version is the version in force, 0 if none is.
	Version uint64 `json:"version"`
	// RefusedVersion is a newer version that is not in force, and Reason says
	// why. Waiting says that it comes in force once its partner list fits.
	RefusedVersion uint64 `json:"refused_version,omitempty"`
	Reason         string `json:"reason,omitempty"`
	Waiting        bool   `json:"waiting,omitempty"`
	// Suspect holds the ids that a list dropped with more than half of the
	// others; they count until a further version confirms the loss.
	Suspect []string `json:"suspect_shrink,omitempty"`
	// StaleSource is the older version that the configuration service serves.
	StaleSource *uint64 `json:"stale_source,omitempty"`
}

func listStatuses(snapshot *view.Snapshot) map[string]ListStatus {
	statuses := make(map[string]ListStatus)
	for _, name := range lists.Names() {
		refusal := snapshot.Refused[name]
		status := ListStatus{
			Version: snapshot.Lists[name].Version, Suspect: snapshot.Suspect[name],
			RefusedVersion: refusal.Version, Reason: refusal.Reason, Waiting: refusal.Waiting,
		}
		if version, stale := snapshot.StaleSource[name]; stale {
			status.StaleSource = &version
		}
		statuses[string(name)] = status
	}
	return statuses
}
