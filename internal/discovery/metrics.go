package discovery

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// reportDataAge serves the time since the store last confirmed the data.
func reportDataAge(age time.Duration) {
	metrics.GetOrCreateGauge("baobabstack_discovery_data_age_seconds", nil).Set(age.Seconds())
}

// countOldData counts the times that the data became older than a leader may let them become.
func countOldData() {
	metrics.GetOrCreateCounter("baobabstack_discovery_old_data_total").Inc()
}

// reportEra serves the era of the state, 0 while none is told.
func reportEra(era uint64) {
	metrics.GetOrCreateGauge("baobabstack_discovery_store_era", nil).Set(float64(era))
}

// countEraListing counts a listing of the store that was taken over because it is of a newer era, by
// where it comes from.
func countEraListing(direct bool) {
	source := "gateway"
	if direct {
		source = "store"
	}
	metrics.GetOrCreateCounter(`baobabstack_discovery_era_listings_total{source="` + source + `"}`).Inc()
}

// countOtherEra counts a batch that was refused because it doesn't fit the state's era.
func countOtherEra() {
	metrics.GetOrCreateCounter("baobabstack_discovery_other_era_batches_total").Inc()
}
