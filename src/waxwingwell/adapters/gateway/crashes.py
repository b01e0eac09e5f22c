"""Crashes of upstreams, and the quarantine of blocks and requests that cause them.

Whether a broken connection is a crash is known only afterwards: the upstream refuses
connections, another process announces itself in its place, or it has fallen silent.
"""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

from ...routing.delays import explains_timeout
from ...routing.fleet import UpstreamState
from ...routing.hashes import frame_parts
from ...routing.hashes import hash_block
from ...routing.hashes import hash_framed
from ...routing.hashes import hash_process
from ...routing.hashes import shorten_content
from ...routing.limits import is_leaving
from ...routing.messages import CrashEvidence
from ...routing.quarantine import BEGIN_SECONDS
from ...routing.quarantine import SURVIVAL_SECONDS
from ...routing.quarantine import drop_expired
from ...routing.quarantine import find_group
from ...routing.quarantine import has_crashed
from ...routing.quarantine import is_quarantined
from ...routing.quarantine import is_sound
from ...routing.quarantine import is_suspected
from ...routing.quarantine import merge_evidence
from ...routing.quarantine import record_evidence
from ...routing.quarantine import record_survival
from ...routing.quarantine import retract_crash
from ...routing.trials import drop_trials
from ...routing.trials import merge_trials
from ...routing.trials import use_trial
from ..events import log_event
from ..http.connection_check import CheckResult
from ..http.connection_check import ConnectionCheck
from ..http.records import strip_hop_headers
from ..metrics import QUARANTINED_BLOCKS
from ..metrics import UPSTREAM_CRASHES
from .context import Break
from .context import BrokenRequest
from .endings import refuse_quarantined
from .reporting import report_crashes
from .sending import CONNECT_SECONDS


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from ...routing.fleet import Announcement
    from ...routing.messages import TrialState
    from ..http.records import HttpRequest
    from .attempts import Attempt
    from .context import GatewayContext
    from .exchange import Exchange


BREAK_SECONDS = 10.0
"""Seconds for which a later process may show that broken connections were a crash."""
RETENTION_SECONDS = 60.0
"""Seconds for which it is known that a process that is not announced has started."""
SILENT_SECONDS = 3.0
"""Seconds without a heartbeat, while others are heard, after which an upstream that
answers nothing has crashed."""
HEARD_AGAIN_SECONDS = 5.0
"""Seconds after a crash in which heartbeats sent before it may still arrive."""
MAX_REFUSED_BLOCKS = 8
"""Blocks of refused requests in one report."""
MAX_REQUEST_CRASHES = 2
"""Upstreams that may crash under one request with suspected blocks."""


def list_shared_blocks(
    service: str, prompt_blocks: tuple[tuple[str, int], ...]
) -> tuple[int, ...]:
    """Return the keys of a prompt's blocks but the last, which is the request's own."""
    return tuple(hash_block(service, block) for block, _ in prompt_blocks[:-1])


def hash_request_content(
    route: str, request: HttpRequest, varying: frozenset[bytes]
) -> int:
    """Return the key of what all attempts of a request share.

    ``varying`` names the headers in which they may differ.
    """
    dropped = varying | {b"host"}  # may name the gateway
    lower = [
        (name.lower(), value) for name, value in strip_hop_headers(request.headers)
    ]
    headers = sorted([b"%b:%b" % pair for pair in lower if pair[0] not in dropped])
    start = (route.encode(), request.method, request.target)
    body = request.body
    frame = frame_parts(start) + b"%d:" % body.size
    return hash_framed(chain((frame,), body, (frame_parts(headers),)))


def record_break(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Record that the connection of an attempt broke, and check its upstream.

    A process that was announced since the attempt began has replaced its upstream, as
    the connection would have broken sooner otherwise.
    """
    upstream = attempt.choice.placement.upstream
    held = exchange.context.fleet.upstreams.get(upstream.upstream)
    if held is not None and replaces(held.announcement, upstream):
        upstream = held.announcement

    started_at = attempt.first_byte_at
    lag = None if started_at is None else now - started_at
    record_crashed_attempt(exchange, attempt, upstream, lag, now)


def record_silence(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Record once that an attempt gets no more data, and check its upstream."""
    if attempt.silent:
        return

    attempt.silent = True
    upstream = attempt.choice.placement.upstream
    started_at = attempt.first_byte_at
    lag = None if started_at is None else attempt.last_byte_at - started_at
    record_crashed_attempt(exchange, attempt, upstream, lag, now)


def check_silence(exchange: Exchange, now: float) -> None:
    """Record an attempt whose upstream has sent nothing for long as it is given up."""
    attempt = exchange.running_attempt
    if attempt is None or attempt.connected_at is None or exchange.flow.paused:
        return

    active_at = exchange.context.upstream_active_at.get(attempt.upstream, 0.0)
    read_at = exchange.flow.resumed_at
    idle = now - max(attempt.started_at, attempt.last_byte_at, active_at, read_at)
    if idle < CONNECT_SECONDS or explains_timeout(exchange.context.delays, idle, now):
        return

    record_silence(exchange, attempt, now)


def record_crashed_attempt(
    exchange: Exchange,
    attempt: Attempt,
    upstream: Announcement,
    lag: float | None,
    now: float,
) -> None:
    """Record an attempt that a crash of its upstream may have ended.

    ``lag`` is the seconds from the start of its response, or None if there was none.
    """
    context = exchange.context
    if attempt.relayed:
        return

    survived = has_survived(attempt)
    if survived:
        clear_blocks(exchange, now)

    if lag is not None and lag >= BEGIN_SECONDS:
        return

    table = context.quarantine
    planned = is_planned_end(context, upstream)
    if planned and not has_crashed(table, exchange.content):
        return

    if attempt.connected_at is not None:
        record_alive(context, attempt)

    rounded = None if lag is None else round(lag, 2)
    broken = BrokenRequest(exchange, rounded, survived)
    held = find_break(context, upstream, now)
    skip_former_crashes(exchange, attempt, held)
    exchange.ended.add(find_key(held))
    if held.crashed:
        record_crashed_requests(context, held, [broken], now)
        return

    held.requests.append(broken)
    if not held.checked:
        check_upstream(context, held)


def find_break(context: GatewayContext, upstream: Announcement, now: float) -> Break:
    """Return the break of an upstream's connections that one more belongs to.

    An upstream that has responded since it crashed is a process that is not announced.
    """
    place = (upstream.upstream, upstream.incarnation)
    held = context.breaks.get(place)
    if held is None:
        held = context.breaks[place] = Break(upstream, now)
    elif held.responded:
        process = held.process + held.crashed
        held = context.breaks[place] = Break(upstream, now, process)

    held.at = now
    return held


def skip_former_crashes(exchange: Exchange, attempt: Attempt, held: Break) -> None:
    """Give a break another process than those that crashed before the attempt.

    Another gateway may have seen the crash of a process whose next one is not
    announced yet.
    """
    known = exchange.context.quarantine.blocks.get(exchange.content, {})
    while not held.requests and not held.crashed:
        former = known.get(find_key(held))
        if former is None or former.at >= attempt.started_at:
            return

        held.process += 1


def check_upstream(context: GatewayContext, held: Break) -> None:
    """Check whether an upstream still accepts connections."""

    def handle_result(result: CheckResult) -> None:
        held.checked = False
        held.unanswered = result is CheckResult.UNANSWERED
        if result is CheckResult.REFUSED:
            confirm_crash(context, held, context.clock())
        elif result is CheckResult.ACCEPTED:
            excuse_upstream(context, held)

    held.checked = True
    ConnectionCheck(
        reactor=context.reactor,
        address=(held.upstream.host, held.upstream.port),
        timeout=CONNECT_SECONDS,
        on_result=handle_result,
    )


def excuse_upstream(context: GatewayContext, held: Break) -> None:
    """Record that an upstream lives whose connections broke, as far as is known.

    The blocks of a trial have crashed nothing then, though its response broke off.
    """
    for one in held.requests:
        one.request.ended.discard(find_key(held))
        if one.request.is_trial:
            record_sound(context, one.request.blocks, context.clock())


def has_survived(attempt: Attempt) -> bool:
    """Return whether an upstream has sent a response for long enough to clear it."""
    if attempt.first_byte_at is None or not attempt.streaming:
        return False

    return attempt.last_byte_at - attempt.first_byte_at >= SURVIVAL_SECONDS


def is_planned_end(context: GatewayContext, upstream: Announcement) -> bool:
    """Return whether an upstream is expected to end.

    A completed roll-out ends the upstreams of other versions without notice.
    """
    held = context.fleet.upstreams.get(upstream.upstream)
    if held is None or held.announcement.state is not UpstreamState.SERVING:
        return True

    rollout = context.rollouts.get(upstream.service)
    if rollout is not None and rollout.state == "completed":
        return upstream.version != rollout.target

    return is_leaving(
        context.limits, upstream.upstream, upstream.incarnation, held.heard_at
    )


def confirm_crash(context: GatewayContext, held: Break, now: float) -> None:
    """Record that an upstream has crashed under requests whose connections broke."""
    if held.crashed:
        return

    if is_planned_end(context, held.upstream):
        table = context.quarantine
        held.requests = [
            one for one in held.requests if has_crashed(table, one.request.content)
        ]
        if not held.requests:
            return

    held.crashed = True
    UPSTREAM_CRASHES.inc()
    log_event(
        "gateway: Upstream crashed",
        upstream=held.upstream.upstream,
        incarnation=held.upstream.incarnation,
        process=held.process,
        requests=len(held.requests),
    )
    requests, held.requests = held.requests, []
    record_crashed_requests(context, held, requests, now)


def find_key(held: Break) -> int:
    """Return the key by which all gateways know a crash."""
    upstream = held.upstream
    return hash_process(upstream.upstream, upstream.incarnation, held.process)


def record_crashed_requests(
    context: GatewayContext,
    held: Break,
    requests: Iterable[BrokenRequest],
    now: float,
) -> None:
    """Record the requests that a crashed upstream was starting to serve."""
    crash = find_key(held)
    planned = is_planned_end(context, held.upstream)
    evidence: list[CrashEvidence] = []
    for one in requests:
        spares_blocks = planned or one.survived
        one.request.crashes += one.lag is not None and not spares_blocks
        evidence += list_suspects(one, crash, spares_blocks=spares_blocks)

    if record_evidence(context.quarantine, evidence, now):
        apply_quarantine(context)
        report_crashes(context)


def list_suspects(
    broken: BrokenRequest, crash: int, *, spares_blocks: bool
) -> list[CrashEvidence]:
    """Return what a crash says about a request and, unless it spares them, its blocks.

    An end that was planned says nothing about blocks that other requests share.
    """
    request = broken.request
    blocks = () if spares_blocks else request.blocks
    name = shorten_content(request.content)
    return [
        CrashEvidence(key, crash, name, broken.lag)
        for key in (*blocks, request.content)
    ]


def apply_quarantine(context: GatewayContext) -> None:
    """Cancel the requests that wait at upstreams and are quarantined by now."""
    groups = context.quarantine.groups
    if groups.keys() != context.quarantined:
        context.quarantined = set(groups)
        QUARANTINED_BLOCKS.set(len(groups))
        log_event("gateway: Prompt blocks quarantined", blocks=len(groups))

    if not groups:
        return

    for request in tuple(context.exchanges):
        request.cancel_if_quarantined()


def cancel_quarantined(exchange: Exchange) -> None:
    """Cancel a request that is quarantined, unless its response has started."""
    attempt = exchange.running_attempt
    if attempt is None or attempt.facts is not None:
        return

    if must_refuse(exchange):
        refuse_quarantined(exchange)


def must_refuse(exchange: Exchange) -> bool:
    """Return whether a request must not reach any upstream."""
    if exchange.is_trial:
        return False

    table = exchange.context.quarantine
    if exchange.ended and is_suspected(table, exchange.content, exchange.ended):
        return True

    return bool(table.groups) and is_quarantined(table, list_keys(exchange))


def list_keys(exchange: Exchange) -> tuple[int, ...]:
    """Return the keys by which a request may be quarantined."""
    return (*exchange.blocks, exchange.content)


def try_quarantined(exchange: Exchange, now: float) -> bool:
    """Return whether a request with quarantined blocks may be sent as a trial, once.

    If not, the refusal is reported, so that a control may grant a trial. A request that
    is quarantined itself is none, as it would end one upstream too many.
    """
    context = exchange.context
    if is_suspected(context.quarantine, exchange.content, exchange.ended):
        return False

    block = find_group(context.quarantine, exchange.blocks)
    if block is None:
        return False

    exchange.is_trial = use_trial(context.trials, block, context.settings.node, now)
    if exchange.is_trial:
        log_event("gateway: Trial of a quarantined block", block=f"{block:016x}")
    elif len(context.refused_blocks) < MAX_REFUSED_BLOCKS:
        context.refused_blocks[block] = None

    return exchange.is_trial


def has_crashed_enough(exchange: Exchange, attempt: Attempt, now: float) -> bool:
    """Return whether a request with suspected blocks has met too many crashes.

    The crash that ended its current attempt may not be certain yet.
    """
    if attempt.facts is None or has_survived(attempt):
        return False

    if exchange.crashes + 1 < MAX_REQUEST_CRASHES:
        return False

    table = exchange.context.quarantine
    return not all(is_sound(table, block, now) for block in exchange.blocks)


def record_success(exchange: Exchange, now: float) -> None:
    """Record that an upstream has responded to a request in whole."""
    record_sound(exchange.context, list_keys(exchange), now)


def clear_blocks(exchange: Exchange, now: float) -> None:
    """Record that an upstream has responded to a request's blocks and lives."""
    if exchange.blocks:
        record_sound(exchange.context, exchange.blocks, now)


def record_sound(context: GatewayContext, keys: Collection[int], now: float) -> None:
    """Record what crashes no upstream; end the quarantines of it."""
    if record_survival(context.quarantine, keys, now):
        apply_quarantine(context)


def check_progress(exchange: Exchange, now: float) -> None:
    """Clear the blocks of a stream that has run for long enough, once an attempt."""
    attempt = exchange.running_attempt
    if attempt is not None and not attempt.survived and has_survived(attempt):
        attempt.survived = True
        clear_blocks(exchange, now)


def record_alive(context: GatewayContext, attempt: Attempt) -> None:
    """Record that an upstream, or a process in its place, is reached after a break."""
    if not context.breaks or attempt.relayed:
        return

    upstream = attempt.choice.placement.upstream
    held = context.breaks.get((upstream.upstream, upstream.incarnation))
    if held is not None and attempt.started_at > held.at:
        held.responded = True


def confirm_replaced(
    context: GatewayContext, announced: Collection[Announcement], now: float
) -> None:
    """Confirm the crashes of upstreams in whose place another process has started."""
    for held in tuple(context.breaks.values()):
        if now - held.at > BREAK_SECONDS:
            continue

        if any(replaces(one, held.upstream) for one in announced):
            confirm_crash(context, held, now)


def replaces(announced: Announcement, former: Announcement) -> bool:
    """Return whether a process has started after another one, at its id or address."""
    same_address = (announced.host, announced.port) == (former.host, former.port)
    if announced.upstream != former.upstream and not same_address:
        return False

    return announced.incarnation > former.incarnation


def receive_evidence(
    context: GatewayContext,
    evidence: Collection[CrashEvidence],
    trials: Collection[TrialState],
    now: float,
) -> None:
    """Apply evidence of other gateways, and trials that a control has granted."""
    merge_trials(context.trials, trials, now)
    if evidence and merge_evidence(context.quarantine, evidence, now):
        apply_quarantine(context)


def review_breaks(context: GatewayContext) -> None:
    """Retract crashes of upstreams that still announce themselves, and drop old ones.

    An upstream that has no room for more connections refuses them as well.
    """
    now = context.clock()
    for place, held in tuple(context.breaks.items()):
        if now - held.at > RETENTION_SECONDS:
            del context.breaks[place]
        elif held.crashed and is_heard_again(context, held):
            del context.breaks[place]
            if retract_crash(context.quarantine, find_key(held)):
                apply_quarantine(context)
        elif is_silent(context, held):
            confirm_crash(context, held, now)
        elif now - held.at > BREAK_SECONDS:
            held.requests.clear()

    drop_expired(context.quarantine, now)
    drop_trials(context.trials, context.quarantine.blocks)


def is_silent(context: GatewayContext, held: Break) -> bool:
    """Return whether an upstream without an answer is not heard, though others are."""
    if held.crashed or not held.unanswered:
        return False

    known = context.fleet.upstreams.get(held.upstream.upstream)
    if known is None or known.announcement.incarnation != held.upstream.incarnation:
        return False

    last = max(known.heard_at, held.at - SILENT_SECONDS)
    return context.heartbeats_at - last > SILENT_SECONDS


def is_heard_again(context: GatewayContext, held: Break) -> bool:
    """Return whether an upstream is heard that seemed to have crashed."""
    known = context.fleet.upstreams.get(held.upstream.upstream)
    if known is None or known.announcement.incarnation != held.upstream.incarnation:
        return False

    return known.heard_at > held.at + HEARD_AGAIN_SECONDS
