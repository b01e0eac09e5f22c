"""Logs, metrics and traces, as configured by the settings."""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import statsd
from loguru import logger
from opentelemetry.propagators.textmap import default_getter
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.export import ConsoleSpanExporter
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace import NoOpTracer
from opentelemetry.trace import Span
from opentelemetry.trace import SpanKind
from opentelemetry.trace import Tracer
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator
from twisted.logger import LogLevel
from twisted.logger import formatEvent
from twisted.logger import globalLogBeginner


if TYPE_CHECKING:
    from twisted.logger import ILogObserver

    from .settings import Telemetry


LOG_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZZ} {level} {message}"
_PROPAGATOR = TraceContextTextMapPropagator()


@dataclass(frozen=True, slots=True)
class Metrics:
    """Functions that report metrics under dotted names."""

    count: Callable[[str, int], None]
    time: Callable[[str, float], None]
    """Reports a duration, given a name and seconds."""
    gauge: Callable[[str, float], None]


@dataclass(frozen=True, slots=True)
class Traces:
    """Tracer for the spans of requests, one span for each hop."""

    tracer: Tracer
    close: Callable[[], None]


def start_logging(level: str) -> None:
    """Send the log lines of this package and of Twisted to standard error."""
    logger.remove()
    logger.add(sys.stderr, format=LOG_FORMAT, level=level)
    globalLogBeginner.beginLoggingTo(
        [cast("ILogObserver", _forward_event)], redirectStandardIO=False
    )


def open_metrics(settings: Telemetry, node: str) -> Metrics:
    """Return metrics that are sent to statsd, or discarded if it is not configured."""
    if settings.statsd is None:
        return Metrics(
            count=lambda name, n: None,
            time=lambda name, seconds: None,
            gauge=lambda name, value: None,
        )

    client: Any = statsd.StatsClient(
        settings.statsd.host, settings.statsd.port, prefix=f"waxwingwell.{node}"
    )
    return Metrics(
        count=lambda name, n: client.incr(name, n),
        time=lambda name, seconds: client.timing(name, seconds * 1000),
        gauge=lambda name, value: client.gauge(name, value),
    )


def open_traces(settings: Telemetry, node: str) -> Traces:
    """Return traces that are written to a JSON Lines file, or discarded."""
    if settings.traces is None:
        return Traces(tracer=NoOpTracer(), close=lambda: None)

    settings.traces.parent.mkdir(parents=True, exist_ok=True)
    out = settings.traces.open("a", encoding="utf-8")
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(settings.trace_share)),
        resource=Resource({"service.name": "waxwingwell", "service.instance.id": node}),
    )
    exporter = ConsoleSpanExporter(
        out=out, formatter=lambda span: span.to_json(indent=None) + "\n"
    )
    provider.add_span_processor(BatchSpanProcessor(exporter))

    def close() -> None:
        provider.shutdown()
        out.close()

    return Traces(tracer=provider.get_tracer("waxwingwell"), close=close)


def start_span(
    traces: Traces, name: str, *, kind: SpanKind, parent: Span | str | None
) -> Span:
    """Start the span of a hop as a child of a span or of a ``traceparent`` header."""
    if isinstance(parent, Span):
        context = set_span_in_context(parent)
    else:
        carrier = {"traceparent": parent} if parent else {}
        context = _PROPAGATOR.extract(carrier, getter=default_getter)

    return traces.tracer.start_span(name, context=context, kind=kind)


def make_traceparent(span: Span) -> str | None:
    """Return the ``traceparent`` header that passes a span to the next hop."""
    carrier: dict[str, str] = {}
    _PROPAGATOR.inject(carrier, context=set_span_in_context(span))
    return carrier.get("traceparent")


def _forward_event(event: Any) -> None:
    level = event.get("log_level", LogLevel.info)
    if level in (LogLevel.error, LogLevel.critical):
        logger.error("twisted: {}", formatEvent(event))
        failure = event.get("log_failure")
        if failure is not None:
            logger.error("twisted: {}", failure.getTraceback())

        return

    logger.debug("twisted: {}", formatEvent(event))
