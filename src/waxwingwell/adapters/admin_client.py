"""Client of the administration API: reads views and sends idempotent changes."""

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
from .admin_paths import API
from .admin_transport import AdminRequest
from .admin_transport import AdminResponse
from .admin_transport import Unreachable
from .admin_views import ErrorView
from .decoding import decode_json


if TYPE_CHECKING:
    from ..messages import Command

ViewT = TypeVar("ViewT")

RETRY_SECONDS = 15.0
"""Seconds for which a request is retried; several times as long as an election."""

DEFAULT_PAUSE_SECONDS = 0.5
"""Seconds between two rounds of attempts if the API sends no ``Retry-After``."""

MAX_PAUSE_SECONDS = 3.0

RETRY_STATUSES = frozenset((502, 503, 504))
"""Statuses after which another address, or the same one later, may succeed."""

OUTCOME_STATUSES = frozenset((200, 409, 422))
"""Statuses whose body holds the outcome of a command."""

ChangeOutcome = Accepted | Conflict | Rejected
AnyOutcome = Accepted | Conflict | Rejected | NotLeader | Failed


class ProblemKind(Enum):
    """Why a request failed."""

    REFUSED = "refused"
    UNAVAILABLE = "unavailable"


@dataclass(frozen=True, slots=True)
class Problem:
    """A request that failed, with the reason to show to the operator."""

    kind: ProblemKind
    message: str
    findings: tuple[Finding, ...] = ()


@dataclass(frozen=True, slots=True)
class AdminClient:
    """Addresses and key of the administration API, and the functions to reach it."""

    addresses: tuple[str, ...]
    """Base URLs of the control processes, tried in this order."""
    key: str
    send: Callable[[AdminRequest], AdminResponse | Unreachable]
    clock: Callable[[], float] = time.monotonic
    pause: Callable[[float], None] = time.sleep


def fetch_view(
    client: AdminClient, path: str, kind: type[ViewT]
) -> Result[ViewT, Problem]:
    """GET a view and decode it as ``kind``."""
    response = send_with_failover(client, "GET", path)
    if isinstance(response, Problem):
        return Failure(response)

    if response.status != 200:
        return Failure(decode_error(response))

    return decode_body(response, kind)


def send_change(
    client: AdminClient, command: Command
) -> Result[ChangeOutcome, Problem]:
    """Send a change, with retries, until its outcome is known.

    If a response is lost, a repeated change could be applied twice or conflict with
    itself. Every retry therefore carries the same change id, for which the API
    returns the first outcome.
    """
    body = msgspec.json.encode(command)
    response = send_with_failover(client, "POST", "/commands", body)
    if isinstance(response, Problem):
        return Failure(response)

    if response.status not in OUTCOME_STATUSES:
        return Failure(decode_error(response))

    outcome: Result[Any, Problem] = decode_body(response, AnyOutcome)  # type: ignore[arg-type]
    return outcome.bind(narrow_outcome)


def narrow_outcome(outcome: AnyOutcome) -> Result[ChangeOutcome, Problem]:
    """Return the outcome of a change; any other outcome becomes a problem."""
    if isinstance(outcome, Accepted | Conflict | Rejected):
        return Success(outcome)

    return Failure(
        Problem(ProblemKind.UNAVAILABLE, f"the change has no outcome: {outcome}")
    )


def post_view(
    client: AdminClient, path: str, body: object, kind: type[ViewT]
) -> Result[ViewT, Problem]:
    """POST a body, with retries, and return the view in the response.

    Only for requests that are safe to repeat.
    """
    response = send_with_failover(client, "POST", path, msgspec.json.encode(body))
    if isinstance(response, Problem):
        return Failure(response)

    if response.status != 200:
        return Failure(decode_error(response))

    return decode_body(response, kind)


def send_order(client: AdminClient, method: str, path: str) -> Result[None, Problem]:
    """Send an order without a body, with retries; it must be safe to repeat."""
    response = send_with_failover(client, method, path)
    if isinstance(response, Problem):
        return Failure(response)

    return Success(None) if response.status == 200 else Failure(decode_error(response))


def fetch_in_force(
    client: AdminClient, config_version: int
) -> Result[InForce, Problem]:
    """Fetch whether a configuration version is in force at every entry."""
    return fetch_view(client, f"/in-force?config_version={config_version}", InForce)


def send_with_failover(
    client: AdminClient, method: str, path: str, body: bytes | None = None
) -> AdminResponse | Problem:
    """Send a request to each address in turn, in rounds, until one responds."""
    deadline = client.clock() + RETRY_SECONDS
    last_error = "no address of the administration API is configured"
    while client.addresses:
        wait = DEFAULT_PAUSE_SECONDS
        for address in client.addresses:
            url = address.rstrip("/") + API + path
            response = client.send(AdminRequest(method, url, client.key, body))
            if isinstance(response, Unreachable):
                last_error = response.reason
                continue

            if response.status not in RETRY_STATUSES:
                return response

            last_error = f"{address}: {decode_error(response).message}"
            wait = response.retry_after or DEFAULT_PAUSE_SECONDS

        wait = min(wait, MAX_PAUSE_SECONDS)
        if client.clock() + wait >= deadline:
            break

        client.pause(wait)

    return Problem(ProblemKind.UNAVAILABLE, last_error)


def decode_body(response: AdminResponse, kind: type[ViewT]) -> Result[ViewT, Problem]:
    """Decode the body of a response; a malformed body is a problem."""
    try:
        return Success(decode_json(response.body, kind))
    except msgspec.DecodeError as error:
        message = f"the response of the administration API cannot be decoded: {error}"
        return Failure(Problem(ProblemKind.UNAVAILABLE, message))


def decode_error(response: AdminResponse) -> Problem:
    """Return the problem that an error response describes."""
    try:
        view = decode_json(response.body, ErrorView)
    except msgspec.DecodeError:
        view = ErrorView()

    message = view.error or view.reason
    if not message:
        message = f"the administration API responded with status {response.status}"

    return Problem(ProblemKind.REFUSED, message, view.findings)
