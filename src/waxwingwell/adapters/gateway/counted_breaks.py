"""Breaks during a roll-out: whether the upstream has ended, or responds to others.

A version is accountable for responses that it breaks off. The end of a process breaks
all of its responses at once, whichever version it runs.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...routing.delays import explains_timeout
from ...routing.tallies import record_crash
from ..http.connection_check import CheckResult
from ..http.connection_check import ConnectionCheck
from .sending import CONNECT_SECONDS


if TYPE_CHECKING:
    from .attempts import Attempt
    from .context import GatewayContext


def check_counted(context: GatewayContext, attempt: Attempt) -> None:
    """Check the upstream of a request that broke off, if its outcome is counted.

    The outcome of a roll-out that has ended is not.
    """
    if attempt.counted is None or attempt.choice.service not in context.tallies:
        return

    upstream = attempt.choice.placement.upstream
    address = (upstream.host, upstream.port)
    requests = context.broken.setdefault(address, [])
    requests.append(attempt.counted)
    if len(requests) > 1:
        return

    ConnectionCheck(
        reactor=context.reactor,
        address=address,
        timeout=CONNECT_SECONDS,
        on_result=partial(record_check, context, address),
    )


def record_check(
    context: GatewayContext, address: tuple[str, int], result: CheckResult
) -> None:
    """Count the requests as broken by a crash unless the upstream may live."""
    requests = context.broken.pop(address, [])
    if result is CheckResult.ACCEPTED:
        return

    delays = context.delays
    timed_out = result is CheckResult.UNANSWERED
    if timed_out and explains_timeout(delays, CONNECT_SECONDS, context.clock()):
        return

    for request in requests:
        record_crash(request)
