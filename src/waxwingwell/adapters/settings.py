"""Settings of the daemons: JSON, validated as a whole, each fault with its place."""

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

from ..keys import EMPTY_DIGEST
from ..records import Finding


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Address(_Model):
    """An IP address and a port; with port 0 the system chooses one when listening."""

    host: str = "127.0.0.1"
    port: int = Field(default=0, ge=0, le=65535)

    @field_validator("host")
    @classmethod
    def check_host(cls, value: str) -> str:
        """Reject host names: the processes address each other by IP address."""
        ip_address(value)
        return value


class Tls(_Model):
    """PEM files of a listener or of both ends of links."""

    certificate: Path
    private_key: Path
    authority: Path | None = None
    """Certificate authorities that must have signed the peer's certificate."""


class Listener(Address):
    """Address at which a daemon listens; in plain text if no TLS is given."""

    tls: Tls | None = None


class LinkTls(Tls):
    """PEM files of links; both ends authenticate with a certificate (mutual TLS)."""

    authority: Path


class LinkListener(Listener):
    """Address at which a daemon listens for links; TLS is mutual."""

    tls: LinkTls | None = None


class Peer(Address):
    """Another process of the system."""

    node: str = Field(min_length=1)


class Telemetry(_Model):
    """Log level and destinations of metrics and traces."""

    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    statsd: Address | None = None
    traces: Path | None = None
    """File to which one JSON line is appended for each span."""
    trace_share: float = Field(default=0.01, ge=0, le=1)
    """Share of requests traced if the caller sends no ``traceparent``."""


class OperatorKey(_Model):
    """A key for the administration API, hashed with SHA-256."""

    name: str = Field(min_length=1)
    digest: str = Field(pattern="^[0-9a-f]{64}$")
    workspace: str = Field(default="", min_length=1)
    """Workspace to which the key is limited; if it is left out, the whole system."""

    @field_validator("digest")
    @classmethod
    def check_digest(cls, value: str) -> str:
        """Reject the digest of an empty key, which every caller would hold."""
        if value == EMPTY_DIGEST:
            raise ValueError("this is the digest of an empty key")

        return value


class EntrySettings(_Model):
    """Settings of an entry."""

    role: Literal["entry"]
    node: str = Field(min_length=1)
    data_centre: str = Field(min_length=1)
    callers: Listener
    upstreams: Listener
    """Address to which upstreams send their announcements."""
    links: LinkListener
    control: tuple[Peer, ...] = Field(min_length=1)
    entries: tuple[Peer, ...] = ()
    """The other entries."""
    distances_ms: dict[str, float] = {}
    """One-way network latency to each other data centre, in milliseconds."""
    rating: Address | None = None
    rating_price: float = Field(default=0.0, ge=0)
    """Cost of one rating in micro-units, used by cascades and sampling."""
    max_body: int = Field(default=4_000_000, ge=1)
    idle_timeout: float = Field(default=30.0, gt=0)
    """Seconds without data after which an incomplete request is dropped."""
    progress_timeout: float = Field(default=5.0, gt=0)
    """Seconds without data from an upstream after which a stream is resumed."""
    drain_notice: float = Field(default=2.0, ge=0)
    """Seconds for which a stopping entry that reports not ready accepts requests."""
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
    """Join an existing group as a learner instead of bootstrapping one."""
    operators: tuple[OperatorKey, ...] = ()
    telemetry: Telemetry = Telemetry()

    @model_validator(mode="after")
    def check_members(self) -> ControlSettings:
        """Reject a group that does not list this node, or lists a node twice."""
        names = [member.node for member in self.members]
        if len(set(names)) != len(names):
            raise ValueError("members: a node is named twice")

        if self.node not in names:
            raise ValueError(f"members: {self.node!r} is missing")

        return self


class EmbeddedSettings(_Model):
    """Settings of the embedded role, which listens on loopback only."""

    role: Literal["embedded"] = "embedded"
    host: str = "127.0.0.1"
    port: int = Field(default=8080, ge=0, le=65535)
    admin_port: int = Field(default=8081, ge=0, le=65535)
    data_folder: Path = Path("data/embedded")
    telemetry: Telemetry = Telemetry()

    @field_validator("host")
    @classmethod
    def check_loopback(cls, value: str) -> str:
        """Reject other addresses: this role accepts a key that is published."""
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
    """Parse and validate JSON settings; every fault is reported with its place."""
    try:
        return Success(_ADAPTER.validate_json(data))
    except ValidationError as error:
        return Failure(make_findings(error))


def make_findings(error: ValidationError) -> tuple[Finding, ...]:
    """Convert a validation error to findings."""
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
