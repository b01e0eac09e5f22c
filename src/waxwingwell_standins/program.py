"""Run a stand-in as a program of its own: settings file in, one line out."""

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


class Running(Protocol):
    """What every stand-in's factory returns."""

    @property
    def port(self) -> int:
        """TCP port on which it listens."""

    def stop(self) -> Deferred[None]:
        """Stop it; fires once it has let go of everything."""


def run_program(kind: type[SettingsT], start: Callable[[SettingsT], Running]) -> None:
    """Serve until a signal; prints ``{"port": n}`` once it listens."""

    def serve(settings: str) -> None:
        """Serve with the JSON settings of the file."""
        reactor: Any = get_reactor()
        stop_at_signals(reactor)
        running = start(read_settings(Path(settings), kind))
        reactor.addSystemEventTrigger("before", "shutdown", running.stop)
        ports = {"port": running.port}
        control = getattr(running, "control", None)
        if control is not None:
            ports["control_port"] = control.port

        print(msgspec.json.encode(ports).decode(), flush=True)
        reactor.run(installSignalHandlers=False)

    fire.Fire(serve)


def stop_at_signals(reactor: Any) -> None:
    """Stop in order at a signal, also at one that comes while the stand-in starts."""
    stopping: list[int] = []

    def handle(number: int, frame: object) -> None:
        if not stopping:
            reactor.callFromThread(reactor.stop)

        stopping.append(number)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, handle)


def read_settings(path: Path, kind: type[SettingsT]) -> SettingsT:
    """Decode a settings file, or leave with a message that names the place."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=kind)
    except (OSError, msgspec.DecodeError) as error:
        sys.exit(f"{path}: {error}")
