"""HTTP client of the stand-ins: one connection per request, with timeouts."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

import treq
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool

from .listener import get_reactor


if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


Response: TypeAlias = Any
"""A treq response."""

ClientAgent: TypeAlias = Any
"""A twisted.web agent, whose methods are untyped."""


def make_agent(timeout: float) -> ClientAgent:
    """Return an agent without keep-alive; ``timeout`` in seconds limits connecting."""
    reactor = get_reactor()
    pool: Any = HTTPConnectionPool(reactor, persistent=False)
    agent: ClientAgent = Agent(reactor, connectTimeout=timeout, pool=pool)
    return agent


def read_status(response: Response) -> Deferred[int]:
    """Read a response to its end and return the status code."""
    code = int(response.code)
    body: Deferred[Any] = treq.content(response)
    return body.addCallback(lambda _: code)


def fetch_status(agent: ClientAgent, url: str, *, timeout: float) -> Deferred[int]:
    """GET a URL and return the status code; fails after ``timeout`` seconds."""
    status: Deferred[Any] = treq.get(url, agent=agent)
    status.addCallback(read_status)
    return status.addTimeout(timeout, get_reactor())
