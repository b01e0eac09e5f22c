"""``waxwingwell serve``: run one of the roles until a signal stops it."""

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
from ..adapters.telemetry import start_logging


if TYPE_CHECKING:
    from ..adapters.settings import Telemetry


COLLECTOR_THRESHOLDS = (10_000, 50, 100)
"""Allocations and collections after which each generation is collected."""
EXIT_FAULT = 1
EXIT_BAD_INPUT = 2
AnySettings = EntrySettings | ControlSettings | EmbeddedSettings


@dataclass(frozen=True, slots=True)
class Running:
    """A started role and the function that stops it."""

    stop: Callable[[], Awaitable[None]]


def serve(role: str = "embedded", *, settings: str = "") -> None:
    """Serve as ``entry``, ``control`` or ``embedded`` with the given settings file.

    The embedded role needs no settings file. Ctrl-C or SIGTERM stops gracefully.
    """
    checked = load_settings(role, settings)
    telemetry: Telemetry = checked.telemetry
    start_logging(telemetry.log_level)
    from twisted.internet import reactor

    sys.exit(run_role(checked, reactor))


def load_settings(role: str, path: str) -> AnySettings:
    """Return the validated settings, or print all findings and exit."""
    if not path:
        if role == "embedded":
            return EmbeddedSettings()

        _exit_bad_input(f"serve {role}: --settings FILE is needed")

    try:
        data = Path(path).read_bytes()
    except OSError as error:
        _exit_bad_input(f"{path}: {error.strerror}")

    result = read_settings(data)
    if isinstance(result, Failure):
        _exit_bad_input(f"{path}:\n{render_findings(result.failure())}")

    settings = result.unwrap()
    if settings.role != role:
        _exit_bad_input(f"{path}: role: {settings.role!r}, but asked to serve {role!r}")

    return settings


def run_role(settings: AnySettings, reactor: Any) -> int:
    """Run the reactor until the role has stopped; return the exit code."""
    code = [0]
    running: list[Running] = []
    stopping: list[bool] = []

    def stop() -> None:
        # A second signal is ignored, so that requests in progress can finish.
        if stopping:
            return

        stopping.append(True)
        if running:
            finish()

    def finish() -> None:
        done = ensureDeferred(_stop_all(running))
        done.addErrback(report_fault).addBoth(lambda _: _stop_reactor(reactor))

    def report_fault(failure: Any) -> None:
        code[0] = EXIT_FAULT
        stopping.append(True)
        if failure.check(SettingsError):
            logger.error("serve: {}", failure.getErrorMessage())
            return

        logger.error("serve: {}.", failure.getTraceback())

    def start() -> None:
        started = Deferred.fromCoroutine(_start(settings, reactor, stop))
        started.addCallbacks(running.append, report_fault)
        # Stopped while starting: the ports are open, and callers may be waiting.
        started.addCallback(lambda _: finish() if stopping else None)

    _install_signal_handlers(reactor, stop, settings)
    _tune_collector()
    reactor.callWhenRunning(start)
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

    # Only this role imports the stand-ins.
    from ..embedded.system import start_embedded
    from ..embedded.system import stop_embedded

    system = await start_embedded(settings, reactor)
    return Running(stop=lambda: stop_embedded(system))


async def _stop_all(running: list[Running]) -> None:
    for item in running:
        await item.stop()


def _tune_collector() -> None:
    """Reduce how often the garbage collector scans long-lived tables.

    A full collection took 0.16 s at 100,000 ledger rows, which pauses every stream and
    uses up part of the leader's lease. Objects loaded at the start never become
    garbage, and those that requests leave behind are young.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*COLLECTOR_THRESHOLDS)


def _install_signal_handlers(
    reactor: Any, stop: Callable[[], None], settings: AnySettings
) -> None:
    """Stop on SIGINT and SIGTERM; SIGHUP stops only the embedded role."""

    def handle(number: int, frame: object) -> None:
        reactor.callFromThread(stop)

    def warn_unapplied(number: int, frame: object) -> None:
        reactor.callFromThread(
            logger.warning,
            "serve: Settings are read only at the start; restart to apply changes.",
        )

    for number in STOP_SIGNALS:
        signal.signal(number, handle)

    embedded = isinstance(settings, EmbeddedSettings)
    signal.signal(RELOAD_SIGNAL, handle if embedded else warn_unapplied)


def _stop_reactor(reactor: Any) -> None:
    if reactor.running:
        reactor.stop()


def _exit_bad_input(text: str) -> None:
    print(text, file=sys.stderr)
    sys.exit(EXIT_BAD_INPUT)
