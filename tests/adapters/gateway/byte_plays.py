"""Plays in which an upstream sends up to 24 MiB, in pieces of 64 KiB."""

from __future__ import annotations

import gc
import sys
import tracemalloc
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_gateway
from .support import make_stream_head


if TYPE_CHECKING:
    from collections.abc import Callable

    from waxwingwell.routing.records import RouteKind


PIECE_BYTES = 65_536
TOTAL_BYTES = 24 * 1024 * 1024
BARE_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n\r\n"
"""Head of a response with neither a length nor chunks."""
CHUNKED_HEAD = make_stream_head()


class Sink:
    """What a caller has read, which is not kept."""

    def write(self, data: bytes) -> None:
        """Drop bytes."""

    def getvalue(self) -> bytes:
        """Return nothing."""
        return b""


@dataclass(slots=True)
class Outcome:
    """What came of a play."""

    gateway: Gateway
    caller: Caller
    upstream: Upstream
    """The upstream that was asked last."""
    pieces: int
    """Pieces that upstreams could send in all."""
    calls: int = 0
    """Calls of Python and C functions."""
    peak: int = 0
    """Most bytes allocated at a time."""

    @property
    def paused(self) -> bool:
        """Whether the last upstream is not read."""
        return is_paused(self.upstream)

    @property
    def ended(self) -> bool:
        """Whether no request is left."""
        return not self.gateway.context.exchanges


def is_paused(peer: Upstream | Caller) -> bool:
    """Return whether the gateway does not read an upstream or a caller."""
    return bool(peer.transport.producerState == "paused")


def is_open(upstream: Upstream) -> bool:
    """Return whether an upstream can still send."""
    return bool(upstream.transport.connected) and not is_paused(upstream)


def fill(unit: bytes) -> bytes:
    """Return a piece that repeats ``unit``."""
    return unit * (PIECE_BYTES // len(unit))


def fill_chunk(unit: bytes) -> bytes:
    """Return a piece that is one chunk and repeats ``unit``."""
    return make_chunk(unit * ((PIECE_BYTES - 16) // len(unit)))


def send_pieces(upstream: Upstream, piece: bytes, most: int) -> int:
    """Send pieces while the gateway reads them; return how many it has read."""
    for number in range(most):
        if not is_open(upstream):
            return number

        upstream.respond(piece)

    return most


def play(
    kind: RouteKind, head: bytes, piece: bytes, *, reads: bool = True, **route: Any
) -> Outcome:
    """Let each upstream that is asked send without end."""
    gateway = make_gateway(kind=kind, **route)
    gateway.context.load.others_at = 0.0
    caller = gateway.ask()
    caller.transport.held = not reads
    caller.transport.io = Sink()
    outcome = Outcome(gateway, caller, gateway.calls[-1], 0)
    asked = 0
    while asked < len(gateway.calls):
        outcome.upstream = gateway.calls[asked]
        asked += 1
        outcome.upstream.accept()
        if head:
            outcome.upstream.respond(head)

        most = TOTAL_BYTES // PIECE_BYTES - outcome.pieces
        outcome.pieces += send_pieces(outcome.upstream, piece, most)

    return outcome


def count_calls(action: Callable[[], Outcome]) -> Outcome:
    """Run a play, and count the functions that it calls."""
    calls = 0

    def count(frame: object, event: str, argument: object) -> None:
        nonlocal calls
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        outcome = action()
    finally:
        sys.setprofile(None)

    outcome.calls = calls
    return outcome


def measure_peak(action: Callable[[], Outcome]) -> Outcome:
    """Run a play, and measure the most bytes that it allocates at a time."""
    gc.collect()
    tracemalloc.start()
    try:
        tracemalloc.reset_peak()
        before = tracemalloc.get_traced_memory()[0]
        outcome = action()
        outcome.peak = tracemalloc.get_traced_memory()[1] - before
    finally:
        tracemalloc.stop()

    return outcome
