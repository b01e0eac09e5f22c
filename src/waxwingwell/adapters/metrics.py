"""Prometheus metrics of gateways and registries.

Labels have low cardinality: none names a request, caller, route or upstream.
"""

from __future__ import annotations

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram


LATENCY_BUCKETS = (0.01, 0.03, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0)
"""Seconds, from a call inside a data centre to the longest streams."""

REGISTRY = CollectorRegistry()
REQUESTS = Counter(
    "waxwingwell_requests",
    "Requests that ended, by kind and outcome.",
    ["kind", "outcome"],
    registry=REGISTRY,
)
REFUSED_CONNECTIONS = Counter(
    "waxwingwell_connections_refused",
    "Connections closed unread beyond the accepted rate; the kernel refuses others.",
    registry=REGISTRY,
)
ATTEMPTS = Counter(
    "waxwingwell_attempts",
    "Sends to upstreams that ended, by kind and how.",
    ["kind", "fate"],
    registry=REGISTRY,
)
FIRST_BYTE_SECONDS = Histogram(
    "waxwingwell_first_byte_seconds",
    "Time from sending a request to the head of its answer, by kind.",
    ["kind"],
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
CONNECT_DURATION = Histogram(
    "waxwingwell_connect_seconds",
    "Time in which connections to upstreams were set up.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
TOTALS_LATE_SECONDS = Gauge(
    "waxwingwell_totals_late_seconds",
    "Time by which a part of the last totals over gateways may have been late.",
    registry=REGISTRY,
)
RETRIES = Counter(
    "waxwingwell_retries",
    "Arrivals at upstreams beyond the first of each request, by cause.",
    ["cause"],
    registry=REGISTRY,
)
REFUSED_RETRIES = Counter(
    "waxwingwell_refused_retries",
    "Decisions against a retry, by reason.",
    ["reason"],
    registry=REGISTRY,
)
WITHHELD_ATTEMPTS = Counter(
    "waxwingwell_withheld_attempts",
    "Attempts that were not written once their connection stood, by reason.",
    ["reason"],
    registry=REGISTRY,
)
RETRY_SECONDS = Histogram(
    "waxwingwell_retry_seconds",
    "Time from the end of an attempt until its retry was written to an upstream.",
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
REQUEST_SECONDS = Histogram(
    "waxwingwell_answer_seconds",
    "Time from a request's arrival to its end, by kind.",
    ["kind"],
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
ORDERS = Counter(
    "waxwingwell_orders",
    "Orders of operators that ended, by command and whether they were accepted.",
    ["command", "accepted"],
    registry=REGISTRY,
)
TRUNCATED_RESPONSES = Counter(
    "waxwingwell_answers_cut",
    "Whole answers whose connection ended before their last byte had left.",
    registry=REGISTRY,
)
LINES_DROPPED = Counter(
    "waxwingwell_log_lines_dropped",
    "Log lines that were dropped to bound their volume.",
    registry=REGISTRY,
)
UPSTREAM_CRASHES = Counter(
    "waxwingwell_upstream_crashes",
    "Upstreams that crashed while they were starting to serve requests.",
    registry=REGISTRY,
)
QUARANTINED_BLOCKS = Gauge(
    "waxwingwell_quarantined_blocks",
    "Prompt blocks whose requests are refused because they crash upstreams.",
    registry=REGISTRY,
)
WAITING_REQUESTS = Gauge(
    "waxwingwell_waiting_requests",
    "Requests that wait for room at upstreams, by rank of urgency.",
    ["rank"],
    registry=REGISTRY,
)
QUEUE_SECONDS = Histogram(
    "waxwingwell_queue_seconds",
    "Time for which requests waited for room until they were sent, by rank.",
    ["rank"],
    buckets=LATENCY_BUCKETS,
    registry=REGISTRY,
)
QUEUE_REFUSALS = Counter(
    "waxwingwell_queue_refusals",
    "Requests that were refused as they waited for room, by reason.",
    ["reason"],
    registry=REGISTRY,
)
BYTES = Counter(
    "waxwingwell_bytes",
    "Bytes of a gateway's connections, by kind of the other end, whether that is in "
    "another data centre (true, false, unknown), and direction.",
    ["kind", "other_data_centre", "direction"],
    registry=REGISTRY,
)
HANDED_ON = Counter(
    "waxwingwell_requests_handed_on",
    "Requests that a gateway sent through another one, by reason.",
    ["reason"],
    registry=REGISTRY,
)
GATEWAY_ROOM = Gauge(
    "waxwingwell_gateway_room",
    "Part of a gateway's capacity that is free, 0 to 1.",
    registry=REGISTRY,
)
SLOW_ENGINES = Gauge(
    "waxwingwell_slow_engines",
    "Engines that take over 1.25 times as long as the median one, as a control sees.",
    registry=REGISTRY,
)
CONNECTED_GATEWAYS = Gauge(
    "waxwingwell_gateways_connected",
    "Gateways that hold a connection to this control.",
    registry=REGISTRY,
)
LEADERLESS_SECONDS = Gauge(
    "waxwingwell_leaderless_seconds",
    "Seconds for which this control has heard from no leader; 0 while it hears one.",
    registry=REGISTRY,
)
ABSENT_VOTERS = Gauge(
    "waxwingwell_absent_voters",
    "Voters without contact to this control while it leads; 0 if it doesn't lead.",
    registry=REGISTRY,
)
HELD_BYTES = Gauge(
    "waxwingwell_held_bytes",
    "Bytes held for callers and upstreams: unsent, partial, collected, and requests.",
    registry=REGISTRY,
)
PAUSED_CONNECTIONS = Gauge(
    "waxwingwell_paused_connections",
    "Connections of callers that have too much left to read.",
    registry=REGISTRY,
)
GIVEN_UP_CONNECTIONS = Counter(
    "waxwingwell_connections_given_up",
    "Connections ended for lack of memory or connections, by what was short.",
    ["cause"],
    registry=REGISTRY,
)
BOUNDS_PASSED = Counter(
    "waxwingwell_bounds_passed",
    "Bounds on bytes and counts that were passed, by kind.",
    ["kind"],
    registry=REGISTRY,
)
