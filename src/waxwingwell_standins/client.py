"""HTTP client of the stand-ins: one connection for each request, bounded in time."""

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
"""A response of treq."""

ClientAgent: TypeAlias = Any
"""An agent of twisted.web, whose methods carry no types."""


def make_agent(timeout: float) -> ClientAgent:
    """Return an agent that keeps no connection open; seconds to connect."""
    reactor = get_reactor()
    pool: Any = HTTPConnectionPool(reactor, persistent=False)
    agent: ClientAgent = Agent(reactor, connectTimeout=timeout, pool=pool)
    return agent


def read_status(response: Response) -> Deferred[int]:
    """Read an answer to its end and return its status."""
    code = int(response.code)
    body: Deferred[Any] = treq.content(response)
    return body.addCallback(lambda _: code)


def fetch_status(agent: ClientAgent, url: str, *, timeout: float) -> Deferred[int]:
    """GET an address and return the status; fails after ``timeout`` seconds."""
    answer: Deferred[Any] = treq.get(url, agent=agent)
    answer.addCallback(read_status)
    return answer.addTimeout(timeout, get_reactor())
