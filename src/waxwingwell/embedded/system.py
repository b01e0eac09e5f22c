"""Start, initial configuration and shutdown of the embedded system."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.task import deferLater

from ..adapters.clock import read_clock
from ..adapters.control.daemon import ControlDaemon
from ..adapters.control.daemon import start_control
from ..adapters.control.daemon import stop_control
from ..adapters.control.service import submit
from ..adapters.entry.callers import index_keys
from ..adapters.entry.daemon import EntryDaemon
from ..adapters.entry.daemon import start_entry
from ..adapters.entry.daemon import stop_entry
from ..adapters.settings import Address
from ..adapters.settings import ControlSettings
from ..adapters.settings import EntrySettings
from ..adapters.settings import LinkListener
from ..adapters.settings import Listener
from ..adapters.settings import OperatorKey
from ..adapters.settings import Peer
from ..keys import hash_key
from ..messages import ApplyAnswers
from ..messages import Command
from ..messages import Failed
from ..messages import NotLeader
from ..messages import RegisterVersion
from ..records import WorkspaceId
from ..state.leases import may_admit
from .fleet import DATA_CENTRE
from .fleet import Fleet
from .fleet import list_versions
from .fleet import start_fleet
from .fleet import start_rating_service
from .fleet import stop_fleet
from .workspace import DEMO_KEY
from .workspace import OPERATOR_KEY
from .workspace import WORKSPACE
from .workspace import make_demo_config
from .workspace import read_demo_answers


if TYPE_CHECKING:
    from ..adapters.settings import EmbeddedSettings


START_TIMEOUT = 20.0
"""Seconds within which the system must be ready for callers."""
POLL_SECONDS = 0.02
"""Seconds between two checks of a condition."""
DRAIN_NOTICE = 0.0
"""Seconds between the readiness check's failure and the closing of the callers' port.

No load balancer runs in front that would have to see the failing check first.
"""


@dataclass(slots=True)
class EmbeddedSystem:
    """The parts of the embedded system, which share one process."""

    reactor: Any
    control: ControlDaemon
    entry: EntryDaemon
    fleet: Fleet

    @property
    def port(self) -> int:
        """Port of the callers' API."""
        return int(self.entry.caller_port.getHost().port)

    @property
    def admin_port(self) -> int:
        """Port of the administration API."""
        return int(self.control.admin_port.getHost().port)


async def start_embedded(settings: EmbeddedSettings, reactor: Any) -> EmbeddedSystem:
    """Start control, the entry and stand-ins, and return once requests are admitted."""
    control = start_control(_make_control_settings(settings), reactor)
    rating = start_rating_service()
    entry = start_entry(_make_entry_settings(settings, control, rating.port), reactor)
    keys = entry.context.keys
    keys.extra[hash_key(DEMO_KEY)] = WorkspaceId(WORKSPACE)
    index_keys(keys, entry.context.tables.workspaces)
    url = f"http://{settings.host}:{entry.upstream_port.getHost().port}"
    system = EmbeddedSystem(
        reactor=reactor,
        control=control,
        entry=entry,
        fleet=start_fleet(url, rating),
    )
    await _apply_demo_configuration(system)
    await _wait_until_ready(system)
    logger.info("embedded: Ready for callers on port {}.", system.port)
    return system


async def stop_embedded(system: EmbeddedSystem) -> None:
    """Drain running requests, then stop the entry, the stand-ins and control."""
    await stop_entry(system.entry)
    await stop_fleet(system.fleet)
    await stop_control(system.control)


async def send_command(system: EmbeddedSystem, command: Command) -> Any:
    """Submit a command to the replicated log; retry until there is a leader."""
    deadline = read_clock() + START_TIMEOUT
    while True:
        outcome: Any = await submit(system.control.context, command)
        if not isinstance(outcome, NotLeader | Failed):
            return outcome

        if read_clock() > deadline:
            raise TimeoutError("control did not become the leader in time")

        await deferLater(system.reactor, POLL_SECONDS, lambda: None)


async def _apply_demo_configuration(system: EmbeddedSystem) -> None:
    """Register the demo versions and workspace unless a previous run has done so."""
    await send_command(system, _make_registration(0))
    config = system.control.context.holder.state.config
    for index, spec in enumerate(list_versions()):
        if spec.version not in config.versions:
            await send_command(system, _make_registration(index))

    if WorkspaceId(WORKSPACE) not in config.workspaces:
        answers = read_demo_answers()
        await send_command(
            system,
            ApplyAnswers(
                change_id="embedded-demo",
                operator="embedded",
                expected_revision=0,
                at=0.0,
                answers=answers,
                config=make_demo_config(answers),
            ),
        )


def _make_registration(index: int) -> RegisterVersion:
    spec = list_versions()[index]
    return RegisterVersion(
        change_id=f"embedded-{spec.version}",
        operator="embedded",
        expected_revision=0,
        at=0.0,
        spec=spec,
    )


async def _wait_until_ready(system: EmbeddedSystem) -> None:
    context = system.entry.context
    deadline = read_clock() + START_TIMEOUT
    while not _is_ready(system):
        if read_clock() > deadline:
            raise TimeoutError("the embedded system did not become ready in time")

        await deferLater(context.reactor, POLL_SECONDS, lambda: None)


def _is_ready(system: EmbeddedSystem) -> bool:
    context = system.entry.context
    announced = len(context.tables.upstreams) >= 1 + len(system.fleet.engines)
    holds_lease = may_admit(context.lease, context.clock())
    return (
        announced
        and holds_lease
        and WorkspaceId(WORKSPACE) in context.tables.workspaces
    )


def _make_control_settings(settings: EmbeddedSettings) -> ControlSettings:
    name = "control-1"
    return ControlSettings(
        role="control",
        node=name,
        data_centre=DATA_CENTRE,
        data_folder=settings.data_folder,
        links=LinkListener(host=settings.host),
        admin=Listener(host=settings.host, port=settings.admin_port),
        members=(Peer(node=name, host=settings.host, port=1),),
        operators=(OperatorKey(name="demo-operator", digest=hash_key(OPERATOR_KEY)),),
        telemetry=settings.telemetry,
    )


def _make_entry_settings(
    settings: EmbeddedSettings, control: ControlDaemon, rating_port: int
) -> EntrySettings:
    port = control.link_port.getHost().port
    return EntrySettings(
        role="entry",
        node=f"entry-{secrets.token_hex(2)}",
        data_centre=DATA_CENTRE,
        callers=Listener(host=settings.host, port=settings.port),
        upstreams=Listener(host=settings.host),
        links=LinkListener(host=settings.host),
        control=(Peer(node="control-1", host=settings.host, port=port),),
        rating=Address(host=settings.host, port=rating_port),
        drain_notice=DRAIN_NOTICE,
        telemetry=settings.telemetry,
    )
