"""Settings of the daemons: JSON, checked as a whole, every fault with its place."""

from __future__ import annotations

from ipaddress import ip_address
from pathlib import Path
from typing import Annotated
from typing import Literal

from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import TypeAdapter
from pydantic import ValidationError
from pydantic import field_validator
from pydantic import model_validator
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ..records import Finding


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """An IP number and a port; port 0 lets the system choose when listening."""

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)

    @field_validator("host")
    @classmethod
    def check_host(cls, value: str) -> str:
        """Refuse names: our processes find each other by IP number."""
        ip_address(value)
        return value


class Tls(_Model):
    """PEM files of a listener or of both ends of our own links."""

    certificate: Path
    private_key: Path
    authority: Path | None = None
    """Certificates that the other end must be signed by (mutual TLS)."""


class Listener(Address):
    """Where a daemon listens; plain text only where no TLS is given."""

    tls: Tls | None = None


class LinkTls(Tls):
    """PEM files of our own links, on which both ends prove their names."""

    authority: Path


class LinkListener(Listener):
    """Where our own processes connect; with TLS it is mutual."""

    tls: LinkTls | None = None


class Peer(Address):
    """Another process of ours."""

    node: str = Field(min_length=1)


class Telemetry(_Model):
    """Where logs, metrics and traces go."""

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd: Address | None = None
    traces: Path | None = None
    """File that receives one JSON line for each span."""
    trace_share: float = Field(default=0.01, ge=0, le=1)
    """Share of requests traced when the caller did not ask for it."""


class OperatorKey(_Model):
    """A key for the administration API, hashed with SHA-256."""

    name: str = Field(min_length=1)
    digest: str = Field(pattern="^[0-9a-f]{64}$")
    workspace: str = ""
    """Only this workspace; empty for the whole system."""


class EntrySettings(_Model):
    """Settings of an entry."""

    role: Literal["entry"]
    node: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    callers: Listener
    upstreams: Listener
    """Where upstreams announce themselves."""
    links: LinkListener
    control: tuple[Peer, ...] = Field(min_length=1)
    entries: tuple[Peer, ...] = ()
    """The other entries."""
    distances_ms: dict[str, float] = {}
    """One-way milliseconds to each other data centre."""
    rating: Address | None = None
    rating_price: float = Field(default=0.0, ge=0)
    """Micro-units that one rating costs; cascades and sampling reckon with it."""
    max_body: int = Field(default=4_000_000, ge=1)
    idle_timeout: float = Field(default=30.0, gt=0)
    """Seconds of silence after which a half-sent request is dropped."""
    progress_timeout: float = Field(default=5.0, gt=0)
    """Seconds of silence of an upstream after which a stream is resumed."""
    drain_notice: float = Field(default=2.0, ge=0)
    """Seconds served on after the health check went red."""
    drain_limit: float = Field(default=600.0, gt=0)
    telemetry: Telemetry = Telemetry()


class ControlSettings(_Model):
    """Settings of a control process."""

    role: Literal["control"]
    node: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    data_folder: Path
    links: LinkListener
    admin: Listener
    members: tuple[Peer, ...] = Field(min_length=1)
    """All members of the group, this one included."""
    join: bool = False
    """Join an existing group as a learner instead of founding one."""
    operators: tuple[OperatorKey, ...] = ()
    telemetry: Telemetry = Telemetry()

    @model_validator(mode="after")
    def check_members(self) -> ControlSettings:
        """Refuse a group that does not name this node, or names one twice."""
        names = [member.node for member in self.members]
        if len(set(names)) != len(names):
            raise ValueError("members: a node is named twice")

        if self.node not in names:
            raise ValueError(f"members: {self.node!r} is missing")

        return self


class EmbeddedSettings(_Model):
    """Settings of the embedded role; only loopback is accepted."""

    role: Literal["embedded"] = "embedded"
    host: str = "127.0.0.1"
    port: int = Field(default=8080, ge=0, le=65535)
    admin_port: int = Field(default=8081, ge=0, le=65535)
    data_folder: Path = Path("data/embedded")
    telemetry: Telemetry = Telemetry()

    @field_validator("host")
    @classmethod
    def check_loopback(cls, value: str) -> str:
        """Refuse other addresses: this role accepts a key that is in the docs."""
        if not ip_address(value).is_loopback:
            raise ValueError("the embedded role listens on loopback only")

        return value


Settings = Annotated[
    EntrySettings | ControlSettings | EmbeddedSettings, Field(discriminator="role")
]
_ADAPTER: TypeAdapter[EntrySettings | ControlSettings | EmbeddedSettings] = TypeAdapter(
    Settings
)


def read_settings(
    data: bytes,
) -> Result[EntrySettings | ControlSettings | EmbeddedSettings, tuple[Finding, ...]]:
    """Check settings given as JSON; every fault is reported with its place."""
    try:
        return Success(_ADAPTER.validate_json(data))
    except ValidationError as error:
        return Failure(make_findings(error))


def make_findings(error: ValidationError) -> tuple[Finding, ...]:
    """Turn a validation error into findings."""
    return tuple(
        Finding(
            place=".".join(str(part) for part in item["loc"]) or "(whole)",
            message=item["msg"],
        )
        for item in error.errors()
    )


def render_findings(findings: tuple[Finding, ...]) -> str:
    """Return one line for each finding."""
    return "\n".join(f"{finding.place}: {finding.message}" for finding in findings)
