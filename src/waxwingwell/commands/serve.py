"""``waxwingwell serve``: run one of the roles until it is told to stop."""

from __future__ import annotations

import gc
import signal
import sys
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from returns.result import Failure
from twisted.internet.defer import Deferred
from twisted.internet.defer import ensureDeferred

from ..adapters.control.daemon import start_control
from ..adapters.control.daemon import stop_control
from ..adapters.entry.daemon import start_entry
from ..adapters.entry.daemon import stop_entry
from ..adapters.exceptions import SettingsError
from ..adapters.settings import ControlSettings
from ..adapters.settings import EmbeddedSettings
from ..adapters.settings import EntrySettings
from ..adapters.settings import read_settings
from ..adapters.settings import render_findings
from ..adapters.signals import RELOAD_SIGNAL
from ..adapters.signals import STOP_SIGNALS
from ..adapters.signals import ignore_signals
from ..adapters.telemetry import start_logs


if TYPE_CHECKING:
    from ..adapters.settings import Telemetry


COLLECTOR_THRESHOLDS = (10_000, 50, 100)
EXIT_FAULT = 1
EXIT_BAD_INPUT = 2
AnySettings = EntrySettings | ControlSettings | EmbeddedSettings


@dataclass(frozen=True, slots=True)
class Running:
    """A started role and how to stop it."""

    stop: Callable[[], Awaitable[None]]


def serve(role: str = "embedded", *, settings: str = "") -> None:
    """Serve as ``entry``, ``control`` or ``embedded`` with the settings file given.

    The embedded role needs no settings. Ctrl-C or SIGTERM stops gracefully.
    """
    checked = load_settings(role, settings)
    telemetry: Telemetry = checked.telemetry
    start_logs(telemetry.log_level)
    from twisted.internet import reactor

    sys.exit(run_role(checked, reactor))


def load_settings(role: str, path: str) -> AnySettings:
    """Return the checked settings, or end the process with every finding."""
    if not path:
        if role == "embedded":
            return EmbeddedSettings()

        _refuse(f"serve {role}: --settings FILE is needed")

    try:
        data = Path(path).read_bytes()
    except OSError as error:
        _refuse(f"{path}: {error.strerror}")

    result = read_settings(data)
    if isinstance(result, Failure):
        _refuse(f"{path}:\n{render_findings(result.failure())}")

    settings = result.unwrap()
    if settings.role != role:
        _refuse(f"{path}: role: {settings.role!r}, but asked to serve {role!r}")

    return settings


def run_role(settings: AnySettings, reactor: Any) -> int:
    """Run the reactor until the role has stopped; return the exit code."""
    code = [0]
    running: list[Running] = []
    stopping: list[bool] = []

    def stop() -> None:
        # A second signal while draining changes nothing: requests still end.
        if stopping:
            return

        stopping.append(True)
        if running:
            end()

    def end() -> None:
        done = ensureDeferred(_stop_all(running))
        done.addErrback(report).addBoth(lambda _: _stop_reactor(reactor))

    def report(failure: Any) -> None:
        code[0] = EXIT_FAULT
        stopping.append(True)
        if failure.check(SettingsError):
            logger.error("serve: {}", failure.getErrorMessage())
            return

        logger.error("serve: {}.", failure.getTraceback())

    def begin() -> None:
        started = Deferred.fromCoroutine(_start(settings, reactor, stop))
        started.addCallbacks(running.append, report)
        # Told to stop meanwhile: the ports are open, and callers may wait in them.
        started.addCallback(lambda _: end() if stopping else None)

    _catch_signals(reactor, stop, settings)
    _calm_collector()
    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    ignore_signals()
    return code[0]


async def _start(
    settings: AnySettings, reactor: Any, stop: Callable[[], None]
) -> Running:
    if isinstance(settings, ControlSettings):
        control = start_control(settings, reactor)
        return Running(stop=lambda: stop_control(control))

    if isinstance(settings, EntrySettings):
        entry = start_entry(settings, reactor, stop=stop)
        return Running(stop=lambda: stop_entry(entry))

    # The stand-ins are loaded for this role only.
    from ..embedded.system import start_embedded
    from ..embedded.system import stop_embedded

    system = await start_embedded(settings, reactor)
    return Running(stop=lambda: stop_embedded(system))


async def _stop_all(running: list[Running]) -> None:
    for item in running:
        await item.stop()


def _calm_collector() -> None:
    """Keep the garbage collector from looking through long-lived tables often.

    A full collection took 0.16 s at 100,000 ledger rows, which shows as a pause of
    every stream and eats into the leader's lease. What is loaded at the start never
    becomes garbage; what requests leave behind is young.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _catch_signals(
    reactor: Any, stop: Callable[[], None], settings: AnySettings
) -> None:
    """Stop at SIGINT and SIGTERM; SIGHUP ends only what belongs to a terminal."""

    def handle(number: int, frame: object) -> None:
        reactor.callFromThread(stop)

    def note_change(number: int, frame: object) -> None:
        reactor.callFromThread(
            logger.warning, "serve: Settings are read at the start; restart to change."
        )

    for number in STOP_SIGNALS:
        signal.signal(number, handle)

    embedded = isinstance(settings, EmbeddedSettings)
    signal.signal(RELOAD_SIGNAL, handle if embedded else note_change)


def _stop_reactor(reactor: Any) -> None:
    if reactor.running:
        reactor.stop()


def _refuse(text: str) -> None:
    print(text, file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)
