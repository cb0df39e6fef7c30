// Package tracing makes OpenTelemetry spans: one for a call at an entry, one for
// each attempt at a server or hop to another entry. Spans are exported over
// OTLP/HTTP through a bounded queue that drops when it is full.
package tracing

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"github.com/baobabstack/baobabstack/internal/policy/outcome"
)

const queueSpans = 2048

var (
	provider   = sdktrace.NewTracerProvider()
	tracer     = provider.Tracer("baobabstack")
	propagator = propagation.TraceContext{}
)

// Setup exports spans of the entry to an OTLP/HTTP endpoint URL. An empty
// endpoint exports nothing; trace ids are made all the same. The function
// returned flushes and stops the export.
func Setup(ctx context.Context, endpoint, entry string) (func(context.Context) error, error) {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", "baobabstack"), attribute.String("service.instance.id", entry))),
	}
	if endpoint != "" {
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
		if err != nil {
			return nil, errors.Wrap(err, "tracing: make exporter")
		}
		options = append(options, sdktrace.WithBatcher(exporter, sdktrace.WithMaxQueueSize(queueSpans)))
	}
	provider = sdktrace.NewTracerProvider(options...)
	tracer = provider.Tracer("baobabstack")
	return provider.Shutdown, nil
}

// StartCall begins the span of a call, as a child of the caller's if its headers
// carry one, and returns the trace id.
func StartCall(ctx context.Context, header http.Header, service, operation string) (context.Context, trace.Span, string) {
	ctx = propagator.Extract(ctx, propagation.HeaderCarrier(header))
	ctx, span := tracer.Start(ctx, "call "+service+"/"+operation, trace.WithSpanKind(trace.SpanKindServer))
	return ctx, span, span.SpanContext().TraceID().String()
}

// StartAttempt begins the span of one attempt at a server or entry.
func StartAttempt(ctx context.Context, target string) (context.Context, trace.Span) {
	return tracer.Start(ctx, "attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("baobabstack.target", target)))
}

// EndAttempt ends a span with its outcome.
func EndAttempt(span trace.Span, o outcome.Outcome, err error) {
	span.SetAttributes(attribute.String("baobabstack.outcome", o.String()))
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}

// TraceParent returns the W3C trace context of the current span.
func TraceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagator.Inject(ctx, carrier)
	return carrier.Get("traceparent")
}
