"""Helpers of the tests of the stand-ins."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import treq
from twisted.internet.protocol import Protocol

from waxwingwell_standins.client import make_agent


if TYPE_CHECKING:
    from unittest import TestCase as AsyncTestCase

    from waxwingwell_standins.client import Response
else:
    from twisted.trial.unittest import TestCase as AsyncTestCase


__all__ = [
    "AsyncTestCase",
    "DisconnectingProtocol",
    "read_json",
    "read_until_closed",
    "send",
]

TIMEOUT = 5.0


class DisconnectingProtocol(Protocol):
    """Body consumer that closes the connection instead of reading."""

    def connectionMade(self) -> None:  # noqa: N802
        if self.transport is not None:
            self.transport.loseConnection()


async def send(method: str, url: str, body: object = None, **headers: str) -> Response:
    """Send a request on its own connection; ``_`` in header names becomes ``-``."""
    named: Any = {key.replace("_", "-"): value for key, value in headers.items()}
    data = None if body is None else msgspec.json.encode(body)
    agent = make_agent(TIMEOUT)
    return await treq.request(method, url, data=data, headers=named, agent=agent)


async def read_json(response: Response) -> Any:
    """Return the body of a response, decoded from JSON."""
    return msgspec.json.decode(await treq.content(response))


async def read_until_closed(response: Response) -> bytes:
    """Return the body received until the connection closed, complete or not."""
    parts: list[bytes] = []
    with contextlib.suppress(Exception):
        await treq.collect(response, parts.append)

    return b"".join(parts)
