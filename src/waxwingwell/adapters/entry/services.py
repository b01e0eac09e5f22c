"""Calls to plain services; those that may not be retried run at most once."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from ...decisions.tables import Work
from ...invariants import Invariant
from ...invariants import check
from ...messages import AlreadyOpen
from ...messages import AlreadySettled
from ...records import OutcomeKind
from ...records import Priority
from ...records import RowStatus
from ...records import ServiceRule
from ...records import StoredResponse
from ...records import UpstreamId
from ...records import VersionId
from ...records import WorkKind
from ...records import WorkspaceConfig
from .attempts import finish_attempt
from .attempts import read_response_body
from .attempts import run_attempt
from .checks import check_lease
from .ledger import Reservation
from .ledger import ReserveOutcome
from .ledger import Settlement
from .ledger import reserve_row
from .ledger import settle_row
from .non_streaming import check_retry
from .non_streaming import correct_outcome
from .placement import place_request
from .replies import Problem
from .upstream_client import AttemptError
from .upstream_client import UpstreamCall


if TYPE_CHECKING:
    from opentelemetry.trace import Span

    from ...records import LedgerRow
    from .context import EntryContext
    from .placement import Placements


MAX_STORED_SERVICE_BYTES = 1_000_000
"""Largest response body stored for replay. A retry of a call whose response was longer
gets an error instead."""
NO_VERSION = VersionId("")


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A caller's call to a plain service."""

    work: Work
    rule: ServiceRule
    method: str
    path: str
    query: str
    body: bytes
    content_type: str
    key: str
    digest: str


def find_rule(
    config: WorkspaceConfig, service: str, method: str, path: str
) -> ServiceRule:
    """Return the rule with the longest matching prefix; ``Problem`` if none matches."""
    rules = [rule for rule in config.services if rule.service == service]
    if not rules:
        raise Problem(
            status=404,
            code="unknown_service",
            message=f"service {service!r} is not open to this workspace",
        )

    matching = [
        rule
        for rule in rules
        if _matches_prefix(path, rule.path_prefix) and method in rule.methods
    ]
    if not matching:
        raise Problem(
            status=403,
            code="call_not_allowed",
            message=f"{method} {path} of {service!r} is not open to this workspace",
        )

    return max(matching, key=lambda rule: len(rule.path_prefix))


def make_service_work(
    request: str, config: WorkspaceConfig, rule: ServiceRule, *, data_centre: str
) -> Work:
    """Return the work of a call to a plain service."""
    kind = WorkKind(name=rule.service, priority=rule.priority, quality_target=0.0)
    return Work(
        request=request,
        workspace=config.workspace,
        kind=kind,
        priority=Priority(rule.priority),
        repeatable=rule.repeatable,
        service=rule.service,
        answer_tokens=0,
        data_centre=data_centre,
    )


async def run_service_call(
    context: EntryContext, placements: Placements, call: ServiceCall, span: Span
) -> StoredResponse:
    """Run the call and return the service's response, or the stored one of its key.

    Errors: ``Problem``, whose outcome states whether the call ran.
    """
    choice = await place_request(
        context, placements, call.work, NO_VERSION, frozenset()
    )
    outcome = await reserve_row(
        context,
        Reservation(
            work=call.work,
            key=call.key,
            digest=call.digest,
            repeatable=call.rule.repeatable,
            upstream=choice.upstream,
        ),
    )
    stored = find_stored_response(outcome)
    if stored is not None:
        return stored

    try:
        check_lease(context)
        response = await _dispatch_call(
            context, placements, call, choice.upstream, span
        )
    except Problem as problem:
        await _settle(context, call, problem.outcome, None)
        raise

    await _settle(context, call, OutcomeKind.COMPLETED, response)
    return response


def find_stored_response(outcome: ReserveOutcome) -> StoredResponse | None:
    """Return the stored response of a reserved key, or None if its row is new.

    ``Problem`` while the key's request runs, or if its response is not stored.
    """
    if isinstance(outcome, AlreadyOpen):
        raise make_in_progress_problem(outcome.row)

    if isinstance(outcome, AlreadySettled):
        return replay_row(outcome.row)

    return None


def replay_row(row: LedgerRow) -> StoredResponse:
    """Return the stored response of a settled row.

    ``Problem`` if none is stored; its outcome states whether the request may have run.
    """
    if row.status == RowStatus.SETTLED and row.answer is not None:
        return row.answer

    if row.outcome in (OutcomeKind.COMPLETED, OutcomeKind.FAILED):
        raise Problem(
            status=409,
            code="already_answered",
            message="the request with this key has ended; its answer is not kept",
            outcome=row.outcome,
        )

    raise Problem(
        status=409,
        code="may_have_run",
        message="the request with this key may have run; it is not sent again",
        outcome=OutcomeKind.MAY_HAVE_RUN,
    )


def make_in_progress_problem(row: LedgerRow) -> Problem:
    """Return the problem for a key whose first request is still running."""
    outcome = OutcomeKind.FAILED if row.repeatable else OutcomeKind.MAY_HAVE_RUN
    return Problem(
        status=409,
        code="key_in_use",
        message="the request with this key is running; ask again for its answer",
        outcome=outcome,
        retry_after=1.0,
    )


async def _dispatch_call(
    context: EntryContext,
    placements: Placements,
    call: ServiceCall,
    first_upstream: UpstreamId,
    span: Span,
) -> StoredResponse:
    """Dispatch the call; retry a non-idempotent one only if it did not run."""
    upstream = first_upstream
    excluded: frozenset[UpstreamId] = frozenset()
    sent = ran = False

    def build(traceparent: str | None) -> UpstreamCall:
        return UpstreamCall(
            method=call.method,
            path=f"/{call.path}" + (f"?{call.query}" if call.query else ""),
            request=call.work.request,
            priority=call.work.priority.value,
            body=call.body,
            content_type=call.content_type,
            traceparent=traceparent,
            key=call.key,
            repeatable=call.rule.repeatable,
        )

    while True:
        check(
            Invariant.AT_MOST_ONCE,
            call.rule.repeatable or not sent,
            lambda: (
                f"{call.work.request} is not repeatable, but would be dispatched twice"
            ),
        )
        try:
            response = await run_attempt(context, call.work, upstream, build, span)
            return await _read_response(context, response, upstream)
        except AttemptError as error:
            sent = error.may_have_run
            ran |= error.may_have_run
            excluded |= {upstream}
            check_retry(context, error, repeatable=call.rule.repeatable, ran=ran)

        try:
            choice = await place_request(
                context, placements, call.work, NO_VERSION, excluded
            )
            check_lease(context)
        except Problem as problem:
            raise correct_outcome(problem, ran=ran) from problem

        upstream = choice.upstream


async def _read_response(
    context: EntryContext, response: Any, upstream: UpstreamId
) -> StoredResponse:
    limit = context.settings.progress_timeout * 2
    data = await read_response_body(context, response, upstream, limit=limit)
    finish_attempt(context, upstream, failed=response.code >= 500)
    types = response.headers.getRawHeaders("content-type")
    return StoredResponse(
        status=response.code,
        content_type=str(types[0]) if types else "application/octet-stream",
        body=data,
    )


async def _settle(
    context: EntryContext,
    call: ServiceCall,
    outcome: OutcomeKind,
    answer: StoredResponse | None,
) -> None:
    stored_answer = answer
    if answer is not None and len(answer.body) > MAX_STORED_SERVICE_BYTES:
        stored_answer = None

    work = call.work
    settlement = Settlement(
        outcome=outcome, answer=None if call.rule.repeatable else stored_answer
    )
    await settle_row(context, work.workspace, call.key, work.request, settlement)


def _matches_prefix(path: str, prefix: str) -> bool:
    base = prefix.strip("/")
    return not base or path == base or path.startswith(base + "/")
