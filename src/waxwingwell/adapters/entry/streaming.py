"""Streaming chat responses that start early and survive cut connections.

The row is reserved in parallel with the dispatch. No byte is sent to the caller
before the row is durable, and the last bytes are sent once the request is settled.
See docs/design/streams.md.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.web.client import readBody

from ...decisions.evidence import record_sent
from ...decisions.evidence import record_unrated
from ...decisions.upstreams import record_missed_deadline
from ...invariants import Invariant
from ...invariants import check
from ...messages import Reserved
from ...records import OutcomeKind
from .attempts import finish_attempt
from .attempts import relay_body
from .attempts import run_attempt
from .chats import make_upstream_body
from .checks import assert_dispatch
from .checks import assert_outcome
from .checks import check_dispatch
from .choice import price_usage
from .ledger import CONTROL_UNAVAILABLE
from .ledger import Reservation
from .ledger import Settlement
from .ledger import reserve_row
from .ledger import settle_row
from .non_streaming import CHAT_PATH
from .non_streaming import check_retry
from .non_streaming import correct_outcome
from .non_streaming import make_upstream_problem
from .placement import place_request
from .ratings import RatedResponse
from .ratings import rate_in_background
from .relay import StreamEnd
from .relay import open_gate
from .relay import push_bytes
from .replies import Problem
from .replies import render_problem
from .resuming import attach_run
from .resuming import cancel_stream
from .resuming import find_next_engine
from .resuming import may_resume
from .resuming import resume_stream
from .stream_runs import StreamRun
from .stream_runs import can_resume
from .stream_runs import exclude_upstream
from .streams import read_text
from .upstream_client import AttemptError
from .upstream_client import UpstreamCall
from .upstream_client import make_call


if TYPE_CHECKING:
    from .context import EntryContext
    from .placement import Placements


RESERVATION_FAILED = "the reservation failed"


async def stream_response(
    context: EntryContext, placements: Placements, run: StreamRun
) -> None:
    """Stream a response and settle it; ``Problem`` before the first byte.

    After the first byte a failure is reported by an error event in the stream.
    """
    try:
        await _stream_until_done(context, placements, run)
    except Problem as raised:
        problem = correct_outcome(raised, ran=run.ran)
        await _settle_failed(context, run, problem)
        if run.sink.first_at is None or not run.sink.open:
            raise problem from raised

        assert_outcome(context, run.chosen.work.request, problem)
        _write_error(run, problem)
        return

    await _settle_completed(context, run)


async def _stream_until_done(
    context: EntryContext, placements: Placements, run: StreamRun
) -> None:
    while True:
        end = await _stream_once(context, placements, run)
        if run.refusal is not None:
            raise run.refusal

        if end is StreamEnd.DONE:
            await _wait_for_reservation(run)
            return

        if run.sink.gone and not run.chat.has_caller_key:
            await cancel_stream(context, run)
            raise Problem(
                status=499,
                code="caller_gone",
                message="the caller went away",
                outcome=OutcomeKind.FAILED,
            )


async def _stream_once(
    context: EntryContext, placements: Placements, run: StreamRun
) -> StreamEnd:
    """Run or resume the response over one connection; return how that ended."""
    if run.upstream and may_resume(context, run):
        response = await resume_stream(context, run)
    else:
        response = await _dispatch(context, placements, run)

    if response is None:
        return StreamEnd.CUT

    if response.code != 200:
        data = await readBody(response)
        finish_attempt(context, run.upstream, failed=response.code >= 500)
        raise make_upstream_problem(response.code, data)

    end = await relay_body(context, response, run.stream, run.sink)
    failed = end is not StreamEnd.DONE and not run.sink.gone and run.refusal is None
    finish_attempt(context, run.upstream, failed=failed)
    if end is StreamEnd.SILENT:
        record_missed_deadline(context.tables, run.upstream, now=context.clock())

    if failed:
        logger.info(
            "stream: {} {} after event {}.",
            run.stream.request,
            end.value,
            run.stream.last,
        )
        context.metrics.count(f"streams.{end.name.lower()}", 1)

    return end


async def _dispatch(
    context: EntryContext, placements: Placements, run: StreamRun
) -> Any:
    """Run the request on a new upstream; None if that failed and may be retried."""
    if run.stream.last > run.stream.skip:
        raise Problem(
            status=502,
            code="stream_lost",
            message="the answer was cut and can't be resumed",
            outcome=OutcomeKind.FAILED,
            retry_after=1.0,
        )

    # An engine at which the stream could not be resumed gets no second attempt.
    if run.upstream:
        exclude_upstream(run)

    if run.attached is not None:
        find_next_engine(context, run)
        return None

    work = run.chosen.work
    choice = await place_request(context, placements, work, run.version, run.excluded)
    run.upstream = choice.upstream
    check_dispatch(context, work, run.version)
    await _reserve(context, run)
    if run.attached is not None:
        return None

    check_dispatch(context, work, run.version)
    assert_dispatch(context, work, run.version)
    body = make_upstream_body(run.chat, run.version)

    def build(traceparent: str | None) -> UpstreamCall:
        return make_call(work, path=CHAT_PATH, body=body, traceparent=traceparent)

    _record_dispatch(context, run)
    try:
        response = await run_attempt(context, work, run.upstream, build, run.span)
    except AttemptError as error:
        run.ran |= error.may_have_run
        # The engine may hold the response if only the connection failed.
        if not (error.may_have_run and can_resume(context, run.upstream)):
            exclude_upstream(run)
            check_retry(context, error, repeatable=True)

        return None

    run.ran = True
    return response


async def _reserve(context: EntryContext, run: StreamRun) -> None:
    """Start the reservation; with a caller's key, wait for it here."""
    if run.reserved is not None:
        return

    reservation = Reservation(
        work=run.chosen.work,
        key=run.chat.key,
        digest=run.chat.digest,
        repeatable=True,
        version=run.version,
        upstream=run.upstream,
        # Without a caller's key the engine runs during the reservation.
        unconfirmed_outcome=OutcomeKind.NOT_RUN
        if run.chat.has_caller_key
        else OutcomeKind.FAILED,
    )
    if run.chat.has_caller_key:
        run.reserved = Deferred()
        outcome = await reserve_row(context, reservation)
        run.reserved.callback(outcome)
        if not isinstance(outcome, Reserved):
            attach_run(context, run, outcome.row)

        open_gate(run.sink)
        return

    run.reserved = Deferred.fromCoroutine(reserve_row(context, reservation))
    run.reserved.addCallbacks(
        lambda outcome: _handle_reservation(run, outcome),
        lambda failure: _abort_stream(run, failure.value),
    )


def _handle_reservation(run: StreamRun, outcome: Any) -> None:
    if isinstance(outcome, Reserved):
        open_gate(run.sink)
        return

    text = f"{run.stream.request} is no new request: {type(outcome).__name__}"
    _abort_stream(run, Problem(status=500, code="internal", message=text))


def _abort_stream(run: StreamRun, error: Exception) -> None:
    """Stop the engine's stream: no part of it may be sent without a row."""
    if not isinstance(error, Problem):
        error = Problem(status=500, code="internal", message=RESERVATION_FAILED)

    # The engine has already started, so "not run" would be wrong.
    run.refusal = replace(error, outcome=OutcomeKind.FAILED)
    if run.sink.source is not None:
        run.sink.source.loseConnection()


async def _wait_for_reservation(run: StreamRun) -> None:
    if run.reserved is not None:
        await run.reserved

    if run.refusal is not None:
        raise run.refusal

    check(
        Invariant.BILLED_ONCE,
        run.sink.open,
        lambda: f"{run.stream.request} ended without a durable ledger row",
    )


async def _settle_completed(context: EntryContext, run: StreamRun) -> None:
    usage = price_usage(context, run.version, run.stream.usage)
    check(
        Invariant.WHOLE_OWN_ANSWER,
        run.stream.done,
        lambda: f"{run.stream.request} was settled before its last event",
    )
    settlement = Settlement(
        outcome=OutcomeKind.COMPLETED,
        version=run.version,
        upstream=run.upstream,
        usage=usage,
    )
    workspace = run.chosen.work.workspace
    await settle_row(context, workspace, run.chat.key, run.stream.request, settlement)
    push_bytes(run.sink, run.sink.final_bytes)
    if run.evidence_recorded and run.chosen.choice.rate:
        text = read_text(b"".join(run.sink.record))
        rate_in_background(
            context,
            RatedResponse(run.chosen.work, run.version, run.chat.prompt, text),
        )


def _record_dispatch(context: EntryContext, run: StreamRun) -> None:
    """Record the dispatch as evidence, once over all retries."""
    if run.evidence_recorded:
        return

    run.evidence_recorded = True
    choice = run.chosen.choice
    record_sent(
        context.tables,
        run.chosen.work,
        run.version,
        rate=choice.rate,
        now=context.clock(),
        explored=choice.explored,
    )


async def _settle_failed(
    context: EntryContext, run: StreamRun, problem: Problem
) -> None:
    """Close the row of a request without a complete response."""
    if run.evidence_recorded and run.chosen.choice.rate:
        work = run.chosen.work
        record_unrated(context.tables, work.workspace, work.kind, run.version)

    # An attached response belongs to another request, which its own entry or control
    # settles.
    if run.reserved is None or run.attached is not None or problem.code == "key_reused":
        return

    work = run.chosen.work
    settlement = Settlement(
        outcome=problem.outcome, version=run.version, upstream=run.upstream
    )
    settling = settle_row(
        context, work.workspace, run.chat.key, work.request, settlement
    )
    if problem.code == CONTROL_UNAVAILABLE:
        # The caller's final response must not wait for an unavailable leader.
        Deferred.fromCoroutine(settling)
        return

    await settling


def _write_error(run: StreamRun, problem: Problem) -> None:
    push_bytes(run.sink, b"data: " + render_problem(problem) + b"\n\n")
