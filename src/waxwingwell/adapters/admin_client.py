"""Client of the administration API: views, and changes that may be resent."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

import msgspec
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from ..messages import Accepted
from ..messages import Conflict
from ..messages import Failed
from ..messages import InForce
from ..messages import NotLeader
from ..messages import Rejected
from ..records import Finding
from .admin_transport import Unreachable
from .admin_transport import WireReply
from .admin_transport import WireRequest
from .admin_views import ErrorView


if TYPE_CHECKING:
    from ..messages import Command

ViewT = TypeVar("ViewT")

API = "/admin/v1"
GIVE_UP_AFTER = 15.0
"""Seconds for which a request is sent again; elections fit well inside."""

PAUSE = 0.5
"""Seconds between two rounds if the API names none."""

LONGEST_PAUSE = 3.0

TRY_AGAIN = frozenset((502, 503, 504))
"""Statuses after which another address, or the same later, may answer."""

ANSWERED = frozenset((200, 409, 422))
"""Statuses whose body is an outcome."""

ChangeOutcome = Accepted | Conflict | Rejected
AnyOutcome = Accepted | Conflict | Rejected | NotLeader | Failed


class ProblemKind(Enum):
    """Why there is no answer."""

    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Problem:
    """A request without the answer that it asked for."""

    kind: ProblemKind
    message: str
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Where the administration API is, and how to reach it."""

    addresses: tuple[str, ...]
    """Base addresses of the control processes; each is tried in turn."""
    key: str
    send: Callable[[WireRequest], WireReply | Unreachable]
    clock: Callable[[], float] = time.monotonic
    pause: Callable[[float], None] = time.sleep


def fetch_view(
    client: AdminClient, path: str, kind: type[ViewT]
) -> Result[ViewT, Problem]:
    """GET a view, decoded."""
    reply = send_anywhere(client, "GET", path)
    if isinstance(reply, Problem):
        return Failure(reply)

    if reply.status != 200:
        return Failure(read_refusal(reply))

    return decode_body(reply, kind)


def send_change(
    client: AdminClient, command: Command
) -> Result[ChangeOutcome, Problem]:
    """Send a change until its outcome is known.

    Failure guarded against: the answer to a change is lost, the operator sends it
    again, and it is made twice or conflicts with itself. Each resend here carries
    the same change id, by which the first outcome comes back.
    """
    body = msgspec.json.encode(command)
    reply = send_anywhere(client, "POST", "/commands", body)
    if isinstance(reply, Problem):
        return Failure(reply)

    if reply.status not in ANSWERED:
        return Failure(read_refusal(reply))

    outcome: Result[Any, Problem] = decode_body(reply, AnyOutcome)  # type: ignore[arg-type]
    return outcome.bind(narrow_outcome)


def narrow_outcome(outcome: AnyOutcome) -> Result[ChangeOutcome, Problem]:
    """Return an outcome of the log; what came in its place is a problem."""
    if isinstance(outcome, Accepted | Conflict | Rejected):
        return Success(outcome)

    return Failure(Problem(ProblemKind.UNAVAILABLE, f"no outcome: {outcome}"))


def post_view(
    client: AdminClient, path: str, body: object, kind: type[ViewT]
) -> Result[ViewT, Problem]:
    """POST a body and return the view that answers it; safe to resend."""
    reply = send_anywhere(client, "POST", path, msgspec.json.encode(body))
    if isinstance(reply, Problem):
        return Failure(reply)

    if reply.status != 200:
        return Failure(read_refusal(reply))

    return decode_body(reply, kind)


def ask_in_force(client: AdminClient, config_version: int) -> Result[InForce, Problem]:
    """Ask whether a configuration version is in force at every entry."""
    return fetch_view(client, f"/in-force?config_version={config_version}", InForce)


def send_anywhere(
    client: AdminClient, method: str, path: str, body: bytes | None = None
) -> WireReply | Problem:
    """Try each address in turn, round after round, until one answers."""
    deadline = client.clock() + GIVE_UP_AFTER
    trouble = "no address is known"
    while client.addresses:
        wait = PAUSE
        for address in client.addresses:
            url = address.rstrip("/") + API + path
            reply = client.send(WireRequest(method, url, client.key, body))
            if isinstance(reply, Unreachable):
                trouble = reply.reason
                continue

            if reply.status not in TRY_AGAIN:
                return reply

            trouble = f"{address}: {read_refusal(reply).message}"
            wait = reply.retry_after or PAUSE

        wait = min(wait, LONGEST_PAUSE)
        if client.clock() + wait >= deadline:
            break

        client.pause(wait)

    return Problem(ProblemKind.UNAVAILABLE, trouble)


def decode_body(reply: WireReply, kind: type[ViewT]) -> Result[ViewT, Problem]:
    """Decode an answer; one of another shape is a problem of the API."""
    try:
        return Success(msgspec.json.decode(reply.body, type=kind))
    except msgspec.DecodeError as error:
        message = f"the answer cannot be read: {error}"
        return Failure(Problem(ProblemKind.UNAVAILABLE, message))


def read_refusal(reply: WireReply) -> Problem:
    """Return what an answer other than the wished one says."""
    try:
        view = msgspec.json.decode(reply.body, type=ErrorView)
    except msgspec.DecodeError:
        view = ErrorView()

    message = view.error or view.reason
    if not message:
        message = f"the administration API answers with status {reply.status}"

    return Problem(ProblemKind.REFUSED, message, view.findings)
