"""The promises of the product, checked on what callers, upstreams and operators saw."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .records import BUDGET_SECONDS
from .records import CALM_SECONDS
from .records import DRAIN_SECONDS
from .records import GRACE_SECONDS
from .records import PLANNED
from .records import sum_stalls
from .records import was_calm


if TYPE_CHECKING:
    from collections.abc import Iterator

    from .records import Ask
    from .records import Fault
    from .records import Journal
    from .records import Run


LEAVE_SLACK = 0.2
"""Seconds that a request may take on its way to an upstream."""
CROSSING_SECONDS = 0.2
"""Within which a request and the close of its idle connection may cross."""
LATE_SECONDS = 3.0
"""After the signal of a planned stop, within which a request may be sent that the end
of the grace cuts off."""
LATE_WORK = GRACE_SECONDS * 5 / 6
"""After the signal, from which on the work of an upstream may be cut off."""
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
        check_planned_stops,
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

        if ask.whole and not ask.intact:
            yield f"{ask.request_id}: a whole answer with another body"
        elif not ask.intact:
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
    runs = group_runs(journal)
    for ask in journal.asks:
        if is_served(ask) or not was_calm(journal, ask.began_at, ask.ended_at):
            continue

        spans = [
            f"{one.upstream} {one.at - ask.began_at:.3f} to "
            f"{one.ended_at - ask.began_at:.3f}"
            for one in runs.get(ask.request_id, [])
        ]
        yield (
            f"{ask.request_id}: {ask.kind} at {ask.gateway} ended with {ask.status} "
            f"though nothing was amiss for {CALM_SECONDS} s; s after its begin: runs "
            f"{spans}, ended {ask.ended_at - ask.began_at:.3f} after {ask.size} bytes, "
            f"soak stalled for {sum_stalls(journal, ask.began_at, ask.ended_at):.3f}"
        )


def check_planned_stops(journal: Journal) -> Iterator[str]:
    """Check that a gateway that stops by plan, and nothing else amiss, cuts nothing."""
    runs = group_runs(journal)
    for ask in journal.asks:
        stop = find_stop(journal, ask)
        if stop is None or not ask.read or ask.whole:
            continue

        if not was_calm(journal, ask.began_at, ask.ended_at, spared=PLANNED):
            continue

        if not is_excused(ask, stop, runs.get(ask.request_id, [])):
            stalled = sum_stalls(journal, ask.sent_at, ask.ended_at)
            told = describe_cut(ask, stop, runs.get(ask.request_id, []))
            yield f"{told}, soak stalled for {stalled:.3f} of it"


def group_runs(journal: Journal) -> dict[str, list[Run]]:
    """Return the runs of each request."""
    runs: dict[str, list[Run]] = {}
    for run in journal.runs:
        runs.setdefault(run.request_id, []).append(run)

    return runs


def find_stop(journal: Journal, ask: Ask) -> Fault | None:
    """Return the planned stop of a request's gateway that fell into its time."""
    for fault in journal.faults:
        if fault.name != "stop" or fault.target != ask.gateway:
            continue

        if fault.began_at <= ask.ended_at and ask.began_at <= fault.ended_at:
            return fault

    return None


def is_excused(ask: Ask, stop: Fault, runs: list[Run]) -> bool:
    """Tell whether a planned stop may leave a request without a whole answer."""
    if ask.ended_at >= ask.began_at + BUDGET_SECONDS:
        return True

    if not runs and ask.ended_at <= ask.sent_at + CROSSING_SECONDS:
        return True

    in_time = ask.sent_at <= stop.began_at + LATE_SECONDS
    return in_time and any(one.ended_at >= stop.began_at + LATE_WORK for one in runs)


def describe_cut(ask: Ask, stop: Fault, runs: list[Run]) -> str:
    """Return what is known of a request that a planned stop cut off."""
    sent, ended = ask.sent_at - stop.began_at, ask.ended_at - stop.began_at
    ends = [f"{one.ended_at - stop.began_at:.3f}" for one in runs]
    return (
        f"{ask.request_id}: {ask.path} at {ask.gateway} ended with {ask.status} after "
        f"{ask.size} bytes; s after SIGTERM: sent {sent:.3f}, upstreams done {ends}, "
        f"connection ended {ended:.3f}"
    )


def is_served(ask: Ask) -> bool:
    """Tell whether a caller has a whole answer."""
    return 200 <= ask.status < 300 and ask.whole
