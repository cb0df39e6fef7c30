package discovery

import "github.com/VictoriaMetrics/metrics"

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
