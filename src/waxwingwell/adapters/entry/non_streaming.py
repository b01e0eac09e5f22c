"""Non-streaming chats: one version, or a cascade that rates and escalates."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from ...decisions.evidence import record_sent
from ...decisions.evidence import record_unrated
from ...decisions.retries import DispatchState
from ...decisions.retries import is_retry_safe
from ...decisions.retries import may_retry
from ...records import OutcomeKind
from ...records import UpstreamId
from ...records import Usage
from ...records import VersionId
from ..decoding import decode_json
from .attempts import finish_attempt
from .attempts import read_response_body
from .attempts import run_attempt
from .chats import make_upstream_body
from .checks import assert_dispatch
from .checks import check_dispatch
from .choice import price_usage
from .placement import place_request
from .ratings import RatedResponse
from .ratings import rate_in_background
from .ratings import rate_response
from .replies import Problem
from .streams import TokenCounts
from .upstream_client import AttemptError
from .upstream_client import UpstreamCall
from .upstream_client import make_call


if TYPE_CHECKING:
    from opentelemetry.trace import Span

    from .chats import Chat
    from .choice import ChosenWork
    from .context import EntryContext
    from .placement import Placements


CHAT_PATH = "/v1/chat/completions"
MAX_RESPONSE_BYTES = 16_000_000
"""Largest complete response of an upstream."""
RETRY_AFTER_FAILURE = 1.0
"""Seconds after which a caller may retry when an upstream failed."""


class _Message(msgspec.Struct):
    content: str | None = None


class _ChoiceItem(msgspec.Struct):
    message: _Message


class _Completion(msgspec.Struct):
    choices: list[_ChoiceItem]
    usage: TokenCounts = msgspec.field(default_factory=TokenCounts)


@dataclass(frozen=True, slots=True)
class CompleteResponse:
    """A complete response with its usage, summed over all versions that ran."""

    body: bytes
    text: str
    version: VersionId
    upstream: UpstreamId
    usage: Usage
    rating: float | None = None


@dataclass(frozen=True, slots=True)
class CascadeStep:
    """One version of a plan."""

    version: VersionId
    escalated: bool
    """An earlier version's response was rated too low."""
    last: bool


async def fetch_complete_response(
    context: EntryContext,
    placements: Placements,
    chat: Chat,
    chosen: ChosenWork,
    span: Span,
) -> CompleteResponse:
    """Run the plan's versions in turn until a response is rated high enough.

    Errors: ``Problem``. If a later version fails, the response of the version before
    it is returned.
    """
    spent = Usage()
    best: CompleteResponse | None = None
    last = len(chosen.choice.plan) - 1
    for index, version in enumerate(chosen.choice.plan):
        step = CascadeStep(version=version, escalated=index > 0, last=index == last)
        try:
            response = await _run_step(context, placements, chat, chosen, step, span)
        except Problem:
            if best is None:
                raise

            break

        spent = _add_usage(spent, response.usage)
        best = response
        if step.last or _meets_threshold(response, chosen.choice.threshold):
            break

    assert best is not None
    return replace(best, usage=spent)


async def _run_step(
    context: EntryContext,
    placements: Placements,
    chat: Chat,
    chosen: ChosenWork,
    step: CascadeStep,
    span: Span,
) -> CompleteResponse:
    """Run one version; all but a plan's last are rated before they are served."""
    work, rate = chosen.work, chosen.choice.rate or not step.last
    record_sent(
        context.tables,
        work,
        step.version,
        rate=rate,
        now=context.clock(),
        explored=step.last and chosen.choice.explored,
        served=step.last,
        escalated=step.escalated,
    )
    try:
        response = await _request_version(
            context, placements, chat, chosen, step.version, span
        )
    except Problem:
        if rate:
            record_unrated(
                context.tables,
                work.workspace,
                work.kind,
                step.version,
                escalated=step.escalated,
            )

        raise

    rated = RatedResponse(
        work=work,
        version=step.version,
        prompt=chat.prompt,
        text=response.text,
        escalated=step.escalated,
        threshold=0.0 if step.last else chosen.choice.threshold,
    )
    if not step.last:
        return replace(response, rating=await rate_response(context, rated))

    if rate:
        rate_in_background(context, rated)

    return response


def _meets_threshold(response: CompleteResponse, threshold: float) -> bool:
    return response.rating is not None and response.rating >= threshold


async def _request_version(
    context: EntryContext,
    placements: Placements,
    chat: Chat,
    chosen: ChosenWork,
    version: VersionId,
    span: Span,
) -> CompleteResponse:
    work = chosen.work
    body = make_upstream_body(chat, version)

    def build(traceparent: str | None) -> UpstreamCall:
        return make_call(work, path=CHAT_PATH, body=body, traceparent=traceparent)

    excluded: frozenset[UpstreamId] = frozenset()
    ran = False
    while True:
        try:
            choice = await place_request(context, placements, work, version, excluded)
            check_dispatch(context, work, version)
        except Problem as problem:
            raise correct_outcome(problem, ran=ran) from problem

        assert_dispatch(context, work, version)
        try:
            response = await run_attempt(context, work, choice.upstream, build, span)
            data = await _read_body(context, response, choice.upstream)
        except AttemptError as error:
            ran |= error.may_have_run
            excluded |= {choice.upstream}
            check_retry(context, error, repeatable=True, ran=ran)
            continue

        if response.code != 200:
            raise make_upstream_problem(response.code, data)

        return _parse_completion(context, data, version, choice.upstream)


def correct_outcome(problem: Problem, *, ran: bool) -> Problem:
    """Return the problem with an outcome that holds for all attempts so far.

    Otherwise, if an engine accepts the request and then stalls and no other one has
    capacity, the refusal would report work that ran as "not run".
    """
    if not ran or problem.outcome is not OutcomeKind.NOT_RUN:
        return problem

    return replace(problem, outcome=OutcomeKind.FAILED)


def check_retry(
    context: EntryContext, error: AttemptError, *, repeatable: bool, ran: bool = False
) -> None:
    """Return if another attempt is safe and within the retry budget, or raise.

    ``ran`` states whether an earlier attempt may have run.
    """
    state = DispatchState.SENT if error.may_have_run else DispatchState.NOT_SENT
    safe = is_retry_safe(repeatable, state)
    if safe and may_retry(context.budget, context.clock()):
        context.metrics.count("retries", 1)
        return

    if not error.may_have_run and not ran:
        outcome = OutcomeKind.NOT_RUN
    elif repeatable:
        outcome = OutcomeKind.FAILED
    else:
        outcome = OutcomeKind.MAY_HAVE_RUN

    raise Problem(
        status=502 if error.may_have_run else 503,
        code="upstream_failed",
        message=f"the upstream failed: {error}",
        outcome=outcome,
        retry_after=RETRY_AFTER_FAILURE,
    )


def make_upstream_problem(status: int, data: bytes) -> Problem:
    """Return the problem that reports an engine's error response to the caller."""
    return Problem(
        status=status if 400 <= status < 500 else 502,
        code="upstream_error",
        message=f"the engine answered {status}: {data[:200].decode(errors='replace')}",
        outcome=OutcomeKind.FAILED,
        retry_after=None if 400 <= status < 500 else RETRY_AFTER_FAILURE,
    )


async def _read_body(
    context: EntryContext, response: Any, upstream: UpstreamId
) -> bytes:
    limit = context.settings.progress_timeout * 4
    data = await read_response_body(context, response, upstream, limit=limit)
    if len(data) > MAX_RESPONSE_BYTES:
        finish_attempt(context, upstream, failed=True)
        raise AttemptError("the answer is too long", may_have_run=True)

    finish_attempt(context, upstream, failed=response.code >= 500)
    return data


def _parse_completion(
    context: EntryContext, data: bytes, version: VersionId, upstream: UpstreamId
) -> CompleteResponse:
    try:
        completion = decode_json(data, _Completion)
        text = completion.choices[0].message.content or ""
    except (msgspec.DecodeError, IndexError) as error:
        raise Problem(
            status=502,
            code="upstream_malformed",
            message=f"the engine's answer can't be read: {error}",
            outcome=OutcomeKind.FAILED,
            retry_after=RETRY_AFTER_FAILURE,
        ) from error

    tokens = completion.usage
    usage = Usage(
        prompt_tokens=tokens.prompt_tokens, answer_tokens=tokens.completion_tokens
    )
    return CompleteResponse(
        body=data,
        text=text,
        version=version,
        upstream=upstream,
        usage=price_usage(context, version, usage),
    )


def _add_usage(left: Usage, right: Usage) -> Usage:
    return Usage(
        prompt_tokens=left.prompt_tokens + right.prompt_tokens,
        answer_tokens=left.answer_tokens + right.answer_tokens,
        cost=left.cost + right.cost,
    )
