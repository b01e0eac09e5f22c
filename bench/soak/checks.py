"""The promises of the product, checked on what callers, upstreams and operators saw."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .records import CALM_SECONDS
from .records import DRAIN_SECONDS
from .records import make_body
from .records import make_stream
from .records import was_calm


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .records import Ask
    from .records import Journal


LEAVE_SLACK = 0.2
"""Seconds that a request may take on its way to an upstream."""
STREAM_KIND = "stream"
ORDER_KIND = "order"


def check_journal(journal: Journal) -> list[str]:
    """Return every promise that was broken."""
    found = list(journal.wrong)
    for check in (
        check_runs,
        check_answers,
        check_refusals,
        check_leaves,
        check_versions,
        check_calm_service,
    ):
        found += check(journal)

    return found


def check_runs(journal: Journal) -> Iterator[str]:
    """Check that what may run once did, for its workspace, without the key."""
    asked = {ask.request_id: ask for ask in journal.asks}
    times = Counter(run.request_id for run in journal.runs)
    for run in journal.runs:
        ask = asked.get(run.request_id)
        if run.saw_key:
            yield f"{run.request_id}: the key was passed on to {run.upstream}"

        if ask is None:
            continue

        if ask.kind == ORDER_KIND and times[run.request_id] > 1:
            yield f"{run.request_id}: an order ran {times[run.request_id]} times"

        if run.path != ask.path or run.workspace != ask.workspace:
            yield f"{run.request_id}: ran as {run.path} for {run.workspace!r}"


def check_answers(journal: Journal) -> Iterator[str]:
    """Check that a success is an upstream's whole answer to just this request."""
    for ask in journal.asks:
        if not 200 <= ask.status < 300:
            continue

        expected = make_body(ask.request_id)
        if ask.kind == STREAM_KIND:
            expected = make_stream(ask.request_id)

        if ask.whole and ask.body != expected:
            yield f"{ask.request_id}: a whole answer with another body"
        elif not expected.startswith(ask.body):
            yield f"{ask.request_id}: events are missing, double or of another request"

        if not ask.signature.endswith(f"/{ask.request_id}"):
            yield f"{ask.request_id}: marked {ask.signature!r}"


def check_refusals(journal: Journal) -> Iterator[str]:
    """Check that what was refused as not run never ran."""
    ran = {run.request_id for run in journal.runs}
    for ask in journal.asks:
        refused = ask.status in wire.NOT_RUN_STATUSES
        if refused and ask.kind == ORDER_KIND and ask.request_id in ran:
            yield f"{ask.request_id}: refused with {ask.status}, yet it ran"


def check_leaves(journal: Journal) -> Iterator[str]:
    """Check that an upstream that leaves gets no new work, in calm times."""
    for run in journal.runs:
        left_at = journal.left.get(run.upstream)
        if left_at is None or run.at < left_at + DRAIN_SECONDS + LEAVE_SLACK:
            continue

        if was_calm(journal, left_at, run.at):
            late = run.at - left_at
            yield f"{run.request_id}: sent to {run.upstream} {late:.1f} s after it left"


def check_versions(journal: Journal) -> Iterator[str]:
    """Check that no read returns a document older than one accepted before."""
    for read_at, version in journal.read_back:
        known = [one for at, one in journal.accepted if at < read_at]
        if known and version < max(known):
            yield f"document {version} is read back after {max(known)} was accepted"


def check_calm_service(journal: Journal) -> Iterator[str]:
    """Check that in calm times every proper request gets its whole answer."""
    for ask in journal.asks:
        if is_served(ask) or not was_calm(journal, ask.began_at, ask.ended_at):
            continue

        yield (
            f"{ask.request_id}: {ask.kind} at {ask.gateway} ended with {ask.status} "
            f"though nothing was amiss for {CALM_SECONDS} s"
        )


def is_served(ask: Ask) -> bool:
    """Tell whether a caller has a whole answer."""
    return 200 <= ask.status < 300 and ask.whole
