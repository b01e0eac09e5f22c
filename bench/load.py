"""A load of chats over kept-alive connections, closed-loop or at a fixed rate.

``python -m bench.load PORT CONNECTIONS SECONDS STREAM`` prints one JSON line. Bounded
by its seconds and to loopback. Sockets without HTTP libraries, so that the
generator costs less than what it measures.
"""

from __future__ import annotations

import json
import selectors
import socket
import sys
import time
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram


if TYPE_CHECKING:
    from collections.abc import Callable


KEY = "caller-of-the-launcher"
END = b"data: [DONE]\n\n"
CHUNKED_END = b"0\r\n\r\n"
WARM_UP = 1.0
"""Seconds at the start that are not counted."""


@dataclass(slots=True)
class Caller:
    """One connection and the request under way on it."""

    sock: socket.socket
    began: float = 0.0
    first: float = 0.0
    data: bytearray = b""  # type: ignore[assignment]
    length: int = -1


@dataclass(frozen=True, slots=True)
class Load:
    """What to send."""

    port: int
    connections: int
    seconds: float
    stream: bool
    host: str = "127.0.0.1"
    rate: float = 0.0
    """Requests offered in a second; 0: as soon as the answer before is whole."""


def make_request(load: Load) -> bytes:
    """Return the bytes of one request."""
    body = json.dumps(
        {
            "model": "auto",
            "messages": [{"role": "user", "content": "which shaft fits? " * 8}],
            "stream": load.stream,
        }
    ).encode()
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nhost: 127.0.0.1\r\n"
        b"content-type: application/json\r\n"
        + f"authorization: Bearer {KEY}\r\ncontent-length: {len(body)}\r\n\r\n".encode()
        + body
    )


def run_load(
    load: Load, make: Callable[[int], bytes] | None = None
) -> dict[str, float]:
    """Drive the load and return requests/s, latencies (ms) and events/s.

    ``make`` returns the bytes of each request by its number.
    """
    chat = make_request(load)
    make = make or (lambda _: chat)
    chooser = selectors.DefaultSelector()
    idle: deque[Caller] = deque()
    for _ in range(load.connections):
        sock = socket.create_connection((load.host, load.port), timeout=10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = Caller(sock)
        chooser.register(sock, selectors.EVENT_READ, caller)
        idle.append(caller)

    whole = HdrHistogram(1, 60_000_000, 3)
    first = HdrHistogram(1, 60_000_000, 3)
    done = events = errors = sent = answered = 0
    began = due = now = time.monotonic()
    while now < began + WARM_UP + load.seconds:
        while idle and due <= now:
            sent += 1
            # A late request counts from when it was due: waiting is latency too.
            send(idle.popleft(), make(sent), due if load.rate else now)
            due += 1 / load.rate if load.rate else 0.0

        for key, _ in chooser.select(max(due - now, 0.0) if idle else 1.0):
            caller = key.data
            data = caller.sock.recv(262_144)
            now = time.monotonic()
            if not data:
                raise ConnectionError("the server closed a connection")

            caller.first = caller.first or now
            caller.data += data
            if not is_whole(caller):
                continue

            answered += 1
            if now > began + WARM_UP:
                done += 1
                errors += not caller.data.startswith(b"HTTP/1.1 200")
                events += caller.data.count(b"data: ")
                whole.record_value(int((now - caller.began) * 1e6))
                first.record_value(int((caller.first - caller.began) * 1e6))

            idle.append(caller)

        now = time.monotonic()

    return {
        "requests": answered,
        "requests_per_s": done / load.seconds,
        "events_per_s": events / load.seconds,
        "errors": errors,
        "p50_ms": whole.get_value_at_percentile(50) / 1000,
        "p99_ms": whole.get_value_at_percentile(99) / 1000,
        "first_p50_ms": first.get_value_at_percentile(50) / 1000,
        "first_p99_ms": first.get_value_at_percentile(99) / 1000,
    }


def send(caller: Caller, request: bytes, began: float) -> None:
    """Send one more request."""
    caller.began = began
    caller.first = 0.0
    caller.data = bytearray()
    caller.length = -1
    caller.sock.sendall(request)


def is_whole(caller: Caller) -> bool:
    """Tell whether the answer under way has ended."""
    if caller.length < 0:
        head = caller.data.find(b"\r\n\r\n")
        if head < 0:
            return False

        caller.length = read_length(bytes(caller.data[:head]).lower(), head)

    if caller.length:
        return len(caller.data) >= caller.length

    return caller.data.endswith(CHUNKED_END)


def read_length(headers: bytes, head: int) -> int:
    """Return the whole answer's length, or 0 for a chunked one."""
    place = headers.find(b"content-length: ")
    if place < 0:
        return 0

    return head + 4 + int(headers[place + 16 :].split(b"\r\n", 1)[0])


def main() -> None:
    """Run the load that the arguments describe."""
    port, connections, seconds, stream = sys.argv[1:5]
    load = Load(int(port), int(connections), float(seconds), stream == "stream")
    print(json.dumps(run_load(load)))


if __name__ == "__main__":
    main()
