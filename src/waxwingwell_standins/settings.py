"""Settings of the stand-ins, decoded from JSON files."""

from __future__ import annotations

import msgspec

from .faults import EngineFaults


class AnnounceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the announcements of an upstream."""

    upstream: str
    data_centre: str
    entries: tuple[str, ...]
    """Base URLs of the entries; after a failure the next one is used."""
    lease: float = 3.0
    """Lease in seconds; announcements are sent three times per lease."""
    key: str = ""
    """Bearer token of the announcements; none is sent if empty."""


class EngineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a model engine; times in seconds, rates in tokens per second."""

    versions: tuple[str, ...] = ()
    """Versions loaded at startup."""
    host: str = "127.0.0.1"
    port: int = 0
    token_interval: float = 0.0
    """Time between two tokens of a request; 0 emits the complete response at once."""
    prefill_rate: float = 0.0
    """Prompt tokens per second; with 0, prefill takes no time."""
    slots: int = 16
    """Requests that run concurrently; others are queued by priority."""
    resume: bool = True
    cancel: bool = True
    kv_transfer: bool = False
    checks_fencing: bool = True
    load_time: float = 0.0
    """Time to load an ordered version, in addition to the download of its weights."""
    weights: str = ""
    """Base URL of the weight store; if empty, nothing is downloaded."""
    keep: float = 60.0
    """Time after the end of a stream during which it can be resumed."""
    cached_prefixes: int = 256
    """Most prompt prefixes in the cache; a cached prefix needs no prefill."""
    load_lag: float = 0.0
    """Age of the reported load."""
    tick: float = 0.004
    """Time between two steps of a busy engine."""
    faults: EngineFaults = msgspec.field(default_factory=EngineFaults)
    announce: AnnounceSettings | None = None


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of a plain service; each counter is decremented per injected fault."""

    drop_answers: int = 0
    """Requests that run, with the connection aborted before the response."""
    silent_answers: int = 0
    """Requests that run and get no response."""
    refuse: int = 0
    """Requests that get a 503 response without running."""


class ServiceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a plain service."""

    service: str
    """Service name in the router, for example ``bookings``."""
    host: str = "127.0.0.1"
    port: int = 0
    capacity: int = 32
    delay: float = 0.0
    """Seconds between a run and its response."""
    faults: ServiceFaults = msgspec.field(default_factory=ServiceFaults)
    announce: AnnounceSettings | None = None


class RatingSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the rating service."""

    host: str = "127.0.0.1"
    port: int = 0
    qualities: dict[str, float] = msgspec.field(default_factory=dict)
    """True mean rating by version, or by version and kind of work: ``version/kind``."""
    default: float = 0.8
    spread: float = 0.1
    """Half the width of the uniform distribution of ratings around the mean."""
    delay: float = 0.0
    """Seconds between a request and its rating."""
    outage: bool = False


class WeightSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the weight store."""

    host: str = "127.0.0.1"
    port: int = 0
    versions: tuple[str, ...] = ()
    """Versions that the store holds; if empty, it holds every version."""
    rate: float = 1.0
    """Downloads per second."""
    burst: float = 2.0
    """Capacity of the token bucket: downloads in a burst after an idle period."""
    size: int = 4096
    """Size of the weights of a version, in bytes."""


class BalancerSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the TCP load balancer; targets have the form ``host:port``."""

    targets: tuple[str, ...]
    host: str = "127.0.0.1"
    port: int = 0
    interval: float = 0.5
    """Seconds between health checks of a target."""
    timeout: float = 1.0
    """Seconds after which a health check has failed."""
    falls: int = 2
    """Consecutive failed checks after which a target gets no new connections."""


class RelaySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the fault-injecting relay."""

    target: str
    """Target address, in the form ``host:port``."""
    host: str = "127.0.0.1"
    port: int = 0
    control_port: int | None = None
    """HTTP port for fault orders; None opens none, 0 selects a free port."""
    delay: float = 0.0
    """Seconds by which each chunk of data is delayed."""
