"""Client for the control leader, which may be any of the control processes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import deferLater

from ...messages import Failed
from ...messages import Message
from ...messages import NotLeader
from ...messages import Submit
from ..exceptions import ControlUnavailableError
from ..exceptions import LinkDownError
from ..exceptions import LinkLostError
from ..links import Link
from ..links import call_link
from ..links import close_link_if_unresponsive
from ..links import is_link_up


if TYPE_CHECKING:
    from ...messages import Command


CALL_TIMEOUT = 1.0
"""Timeout of one attempt in seconds."""
RETRY_DELAY = 0.05
"""Seconds between attempts while no leader is known."""
AVOID_SECONDS = 0.5
"""Seconds for which a process is avoided after a call timed out or its link was lost.

It is called all the same if no other link is up.
"""


@dataclass(slots=True)
class ControlClient:
    """Links to all control processes and the name of the presumed leader."""

    reactor: Any
    clock: Callable[[], float]
    links: dict[str, Link] = field(default_factory=dict)
    leader: str = ""
    rotation: int = 0
    """Counter that selects the next process while no leader is known."""
    avoided_peer: str = ""
    """The process whose last call timed out or whose link was lost."""
    avoided_until: float = 0.0


async def submit_command(
    client: ControlClient, command: Command, *, limit: float
) -> Any:
    """Submit a command to the replicated log and return its outcome.

    Every command is idempotent (keys, change ids, sequences), so it is retried for
    up to ``limit`` seconds. Errors: ``ControlUnavailableError``.
    """
    return await ask_leader(client, Submit(command=command), limit=limit)


async def ask_leader(client: ControlClient, body: Message, *, limit: float) -> Any:
    """Return the leader's reply; ``ControlUnavailableError`` after ``limit`` s."""
    deadline = client.clock() + limit
    may_have_run = False
    while True:
        link = _pick_link(client)
        left = deadline - client.clock()
        if left <= 0:
            raise ControlUnavailableError(
                "no control leader replied in time", may_have_run=may_have_run
            )

        if link is not None:
            reply = await _call_once(client, link, body, min(left, CALL_TIMEOUT))
            if isinstance(reply, Failed) and reply.may_have_run:
                may_have_run = True

            if not isinstance(reply, Failed | NotLeader):
                client.leader = link.name
                return reply

        await deferLater(client.reactor, min(RETRY_DELAY, left), lambda: None)


async def _call_once(
    client: ControlClient, link: Link, body: Message, timeout: float
) -> Any:
    try:
        reply = await call_link(link, body, timeout=timeout)
    except LinkDownError as error:
        client.leader = ""
        return Failed(reason=str(error), may_have_run=False)
    except LinkLostError as error:
        client.leader = ""
        # The same fault may have broken the other connections; calling each of them
        # in turn would cost the caller one timeout per process.
        for other in client.links.values():
            close_link_if_unresponsive(other)

        client.avoided_peer = link.name
        client.avoided_until = client.clock() + AVOID_SECONDS
        return Failed(reason=str(error), may_have_run=True)

    if isinstance(reply, NotLeader):
        client.leader = reply.leader if reply.leader != link.name else ""

    return reply


def _pick_link(client: ControlClient) -> Link | None:
    """Return the link to the leader, or to a process that may know it.

    When a leader stalls, the other processes name it until they have elected a new
    one. It is avoided for a while, since another call at once would cost the caller a
    second full timeout.
    """
    known = client.links.get(client.leader)
    if known is not None and is_link_up(known) and not _is_avoided(client, known):
        return known

    up = [link for link in client.links.values() if is_link_up(link)]
    up = [link for link in up if not _is_avoided(client, link)] or up
    if not up:
        return None

    client.rotation += 1
    return up[client.rotation % len(up)]


def _is_avoided(client: ControlClient, link: Link) -> bool:
    return link.name == client.avoided_peer and client.clock() < client.avoided_until
