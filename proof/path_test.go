package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/baobabstack/baobabstack/internal/call"
	"github.com/baobabstack/baobabstack/internal/standin"
)

func TestLookupAndBookingThroughEntries(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 2})

	for i, entry := range fleet.Entries {
		target := fmt.Sprintf("/stock/lookup?box=%d", i)
		res, err := standin.Call(ctx, http.MethodGet, entry.URL()+target, "", nil)
		assert.NilError(t, err)
		checkAnswer(t, res, target, "")

		body := fmt.Sprintf("move %d", i)
		res, err = standin.Call(ctx, http.MethodPost, entry.URL()+"/moves/book", body, nil)
		assert.NilError(t, err)
		checkAnswer(t, res, "/moves/book", body)
	}
}

func checkAnswer(t *testing.T, res standin.Response, target, body string) {
	t.Helper()
	assert.Equal(t, res.Status, http.StatusOK, res.Body)
	assert.Equal(t, res.Header.Get(call.HeaderOutcome), "answered")
	assert.Assert(t, res.Header.Get(call.HeaderTrace) != "")
	var reply standin.Reply
	assert.NilError(t, json.Unmarshal([]byte(res.Body), &reply))
	assert.Equal(t, reply.Target, target)
	assert.Equal(t, reply.Body, body)
	assert.Equal(t, reply.Server, res.Header.Get(call.HeaderServer))
}

func TestUnknownKeyIsRefusedNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	fleet := startFleet(ctx, t, standin.FleetOptions{Entries: 1})

	res, err := http.Get(fleet.Entries[0].URL() + "/stock/lookup")
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.Equal(t, res.StatusCode, http.StatusUnauthorized)
	assert.Equal(t, res.Header.Get(call.HeaderOutcome), "not-run")
}
