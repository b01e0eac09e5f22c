"""Runs a stand-in as a program, from a settings file.

The program prints its ports as one line of JSON.
"""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol
from typing import TypeVar

import fire
import msgspec

from .listener import get_reactor


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred


SettingsT = TypeVar("SettingsT")


class RunningStandIn(Protocol):
    """Interface of the objects that the start functions of the stand-ins return."""

    @property
    def port(self) -> int:
        """TCP port of the listener."""

    def stop(self) -> Deferred[None]:
        """Stop the stand-in; fires once it has released all its resources."""


def run_program(
    settings_type: type[SettingsT], start: Callable[[SettingsT], RunningStandIn]
) -> None:
    """Serve until a signal arrives; prints ``{"port": n}`` once it listens."""

    def serve(settings: str) -> None:
        """Serve with the settings of a JSON file."""
        reactor: Any = get_reactor()
        stop_at_signals(reactor)
        running = start(read_settings(Path(settings), settings_type))
        reactor.addSystemEventTrigger("before", "shutdown", running.stop)
        ports = {"port": running.port}
        control = getattr(running, "control", None)
        if control is not None:
            ports["control_port"] = control.port

        print(msgspec.json.encode(ports).decode(), flush=True)
        reactor.run(installSignalHandlers=False)

    fire.Fire(serve)


def stop_at_signals(reactor: Any) -> None:
    """Stop cleanly on a signal, including one that arrives during startup."""
    received: list[int] = []

    def handle(number: int, frame: object) -> None:
        if not received:
            reactor.callFromThread(reactor.stop)

        received.append(number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, handle)


def read_settings(path: Path, settings_type: type[SettingsT]) -> SettingsT:
    """Decode a settings file, or exit with a message that locates the error."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=settings_type)
    except (OSError, msgspec.DecodeError) as error:
        sys.exit(f"{path}: {error}")
