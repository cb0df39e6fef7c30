package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/baobabstack/baobabstack/internal/lists"
	"github.com/baobabstack/baobabstack/internal/view"
)

func listsRefused(name lists.Name) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`baobab_list_refused_total{list=%q}`, name))
}

func listsWaiting(name lists.Name) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`baobab_list_waiting_total{list=%q}`, name))
}

func suspectShrinks(name lists.Name) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`baobab_list_suspect_shrink_total{list=%q}`, name))
}

// setGauges sets what the snapshot says of a list: the version in force, the
// version refused or waiting, the members kept by a suspect shrink and the
// version that a stale source serves. 0 means none.
func setGauges(s *view.Snapshot, name lists.Name) {
	set := func(metric string, value float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf(`%s{list=%q}`, metric, name), nil).Set(value)
	}
	set("baobab_list_version", float64(s.Lists[name].Version))
	set("baobab_list_refused_version", float64(s.Refused[name].Version))
	set("baobab_list_suspect_kept", float64(len(s.Suspect[name])))
	_, stale := s.StaleSource[name]
	set("baobab_list_source_stale", flag(stale))
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
