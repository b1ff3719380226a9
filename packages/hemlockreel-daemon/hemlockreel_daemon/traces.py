"""Trace spans, kept in memory for the operators' interface."""

import collections
from collections.abc import Iterator
import contextlib
import time
from typing import Any

from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry.trace import propagation
from opentelemetry.trace.propagation import tracecontext

MAX_SPANS = 2000  # kept per daemon; the oldest are dropped

_propagator = tracecontext.TraceContextTextMapPropagator()


class _MemoryExporter(export.SpanExporter):
    """Keeps the most recent spans as dictionaries."""

    def __init__(self):
        self.spans: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=MAX_SPANS
        )

    def export(self, spans):
        """Stores finished spans."""
        self.spans.extend(_to_dict(span) for span in spans)
        return export.SpanExportResult.SUCCESS


class Traces:
    """The tracer of one daemon."""

    def __init__(self, host: str):
        resource = resources.Resource({"service.name": "hemlockreel"})
        provider = sdk_trace.TracerProvider(resource=resource)
        self._host = host
        self._exporter = _MemoryExporter()
        provider.add_span_processor(export.SimpleSpanProcessor(self._exporter))
        self._tracer = provider.get_tracer("hemlockreel")

    @contextlib.contextmanager
    def span(
        self, name: str, traceparent: str, **attributes: Any
    ) -> Iterator[str]:
        """Runs the block in a child span; yields the child's traceparent."""
        with self._tracer.start_as_current_span(
            name,
            context=_context(traceparent),
            attributes={"host": self._host, **attributes},
        ) as span:
            yield _traceparent(span)

    def start(self, name: str, traceparent: str, **attributes: Any) -> Any:
        """Starts a child span, which must be ended with ``span.end()``."""
        return self._tracer.start_span(
            name,
            context=_context(traceparent),
            attributes={"host": self._host, **attributes},
        )

    def record(
        self,
        name: str,
        traceparent: str,
        duration_s: float,
        attributes: dict[str, Any],
    ) -> None:
        """Records a span of the given duration that ends now."""
        end = time.time_ns()
        span = self._tracer.start_span(
            name,
            context=_context(traceparent),
            start_time=end - int(duration_s * 1e9),
            attributes={"host": self._host, **attributes},
        )
        span.end(end)

    def find(self, request_id: str) -> list[dict[str, Any]]:
        """Returns the kept spans of a request, or all if the id is empty."""
        return [
            span
            for span in list(self._exporter.spans)
            if not request_id
            or span["attributes"].get("request_id") == request_id
        ]


def traceparent_of(span: Any) -> str:
    """Returns the W3C ``traceparent`` value of a span."""
    return _traceparent(span)


def _context(traceparent: str) -> Any:
    return _propagator.extract({"traceparent": traceparent})


def _traceparent(span: Any) -> str:
    carrier: dict[str, str] = {}
    _propagator.inject(carrier, context=propagation.set_span_in_context(span))
    return carrier["traceparent"]


def _to_dict(span: Any) -> dict[str, Any]:
    context = span.get_span_context()
    return {
        "name": span.name,
        "trace_id": f"{context.trace_id:032x}",
        "span_id": f"{context.span_id:016x}",
        "parent_id": f"{span.parent.span_id:016x}" if span.parent else "",
        "start_ns": span.start_time,
        "end_ns": span.end_time,
        "attributes": dict(span.attributes),
    }
