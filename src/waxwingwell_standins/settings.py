"""Settings of the stand-ins, as their JSON files hold them."""

from __future__ import annotations

import msgspec

from .faults import EngineFaults


class AnnounceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """How an upstream announces itself."""

    upstream: str
    data_centre: str
    entries: tuple[str, ...]
    """Base addresses; the next one is tried when one fails."""
    lease: float = 3.0
    """Seconds; it announces itself every third of that."""
    key: str = ""
    """Sent as a bearer token when it is not empty."""


class EngineSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a model engine; intervals in seconds, rates in tokens a second."""

    versions: tuple[str, ...] = ()
    """Versions loaded from the start."""
    host: str = "127.0.0.1"
    port: int = 0
    token_interval: float = 0.0
    """Between two tokens of one request; 0 gives the whole answer at once."""
    prefill_rate: float = 0.0
    """Prompt tokens a second; 0 needs no time."""
    slots: int = 16
    """Requests that run side by side; the rest wait by priority."""
    resume: bool = True
    cancel: bool = True
    kv_transfer: bool = False
    checks_fencing: bool = True
    load_time: float = 0.0
    """Until an ordered version is loaded, beside the download of its weights."""
    weights: str = ""
    """Base address of the weight store; empty loads without it."""
    keep: float = 60.0
    """Time for which a stream can be resumed after its end."""
    cached_prefixes: int = 256
    """Prompt prefixes kept; a prompt that begins with one needs less prefill."""
    load_lag: float = 0.0
    """Age of the load that it reports."""
    tick: float = 0.004
    """Time between two steps of the engine while it has work."""
    faults: EngineFaults = msgspec.field(default_factory=EngineFaults)
    announce: AnnounceSettings | None = None


class ServiceFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of a plain service; each number counts down by one a fault."""

    drop_answers: int = 0
    """Run, then cut the connection before the answer."""
    silent_answers: int = 0
    """Run, then never answer."""
    refuse: int = 0
    """Answer 503 without running."""


class ServiceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a plain service."""

    service: str
    """Name under which the router knows it, for example ``bookings``."""
    host: str = "127.0.0.1"
    port: int = 0
    capacity: int = 32
    delay: float = 0.0
    """Seconds from a run to its answer."""
    faults: ServiceFaults = msgspec.field(default_factory=ServiceFaults)
    announce: AnnounceSettings | None = None


class RatingSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the rating service."""

    host: str = "127.0.0.1"
    port: int = 0
    qualities: dict[str, float] = msgspec.field(default_factory=dict)
    """True mean rating by version, or by ``version/kind``."""
    default: float = 0.8
    spread: float = 0.1
    """Ratings lie evenly within this distance of the mean."""
    delay: float = 0.0
    outage: bool = False


class WeightSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the weight store."""

    host: str = "127.0.0.1"
    port: int = 0
    versions: tuple[str, ...] = ()
    """Versions that it holds; empty holds every one."""
    rate: float = 1.0
    """Downloads a second."""
    burst: float = 2.0
    """Downloads at once after a pause."""
    size: int = 4096
    """Bytes of one version's weights."""


class BalancerSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the TCP balancer; targets are written ``host:port``."""

    targets: tuple[str, ...]
    host: str = "127.0.0.1"
    port: int = 0
    interval: float = 0.5
    """Seconds between two health checks of a target."""
    timeout: float = 1.0
    falls: int = 2
    """Failed checks in a row after which a target gets no new connections."""


class RelaySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the fault-injecting relay."""

    target: str
    """``host:port``."""
    host: str = "127.0.0.1"
    port: int = 0
    control_port: int | None = None
    """HTTP port for orders; None opens none, 0 takes a free one."""
    delay: float = 0.0
    """Seconds by which each chunk is held up."""
