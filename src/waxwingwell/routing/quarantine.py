"""Quarantine of prompt blocks and requests that crash each upstream that serves them.

Retries, resumption and failover would carry such a request from one upstream to the
next. Each crash makes the blocks of the requests that an upstream was starting to serve
suspect. A block on which an upstream has responded and lives is cleared. Processes
exchange pairs of block and crash and merge them as sets, so it does not matter how
often, by whom, or in which order a crash is reported.

Blocks that occur in the same crashes can't be told apart: requests are quarantined that
hold all of them. Others may hold the harmless ones, and clear them.

The whole content of a request is one more key, handled like a block. Fewer crashes
quarantine it, and only a whole response clears it.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from itertools import islice
from typing import TYPE_CHECKING

from .hashes import is_content
from .messages import CrashEvidence


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable


MIN_CRASHES = 4
"""Crashes for which a block is quarantined."""
MIN_REQUESTS = 2
"""Different requests in which the block must have been; one that meets several ordinary
crashes would otherwise condemn its own blocks."""
MAX_ENDED = 3
"""Upstreams that may end under one request."""
LAG_SPREAD_SECONDS = 0.1
"""Difference of the lags of crashes that one request may have caused: it takes about
as long at each upstream, while ordinary crashes come at any time."""
BEGIN_SECONDS = 1.0
"""Seconds of a response after which a crash says nothing about its request: one that
crashes its upstream does so as it begins."""
EXPLAINED_WEIGHT = 1.5
"""Weight of all crashes under one request that has ended as many as it may."""
QUEUED_WEIGHT = 0.3
"""Weight of a crash for requests that still waited for their response."""
LAG_SECONDS = 0.1
"""Time from the start of a response to the crash that counts against a block as much as
one crash less."""
SURVIVAL_SECONDS = 0.3
"""Seconds of a response after which its blocks are cleared."""
SOUND_SECONDS = 10.0
"""Seconds for which a block that was cleared is not suspected."""
MAX_SOUND_BLOCKS = 2_000
"""Cleared blocks and requests that a gateway remembers, 0.25 MB."""
MAX_BLOCKS = 128
"""Suspected blocks that a process remembers."""
MAX_REQUESTS = 2_048
"""Suspected requests that a process remembers."""
MAX_CRASHES = 16
"""Crashes that are remembered for each of them."""
MAX_LISTED = 256
"""Pairs of block and crash in one message, 6 KB."""
RETENTION_SECONDS = 3600.0
"""Seconds for which a crash makes a block suspect."""
LISTED_SECONDS = 30.0
"""Seconds for which a request that was in a single crash is part of full reports."""
QUARANTINE_SECONDS = 86_400.0
"""Seconds for which the crashes of a quarantined block count."""


@dataclass(slots=True)
class Suspicion:
    """What one crash says about one block."""

    request: int
    """Hash of a request with the block; the smallest of those reported."""
    lag: float | None
    """Longest time from the start of a response to the crash, in seconds; None if none
    had started."""
    cleared: bool
    at: float


@dataclass(slots=True)
class QuarantineTable:
    """Suspected blocks by hash, and what follows from them."""

    blocks: dict[int, dict[int, Suspicion]] = field(default_factory=dict)
    """Suspicions by block or request, then by crash."""
    groups: dict[int, list[frozenset[int]]] = field(default_factory=dict)
    """Quarantined groups by block; a request is quarantined that holds a whole one."""
    sound: OrderedDict[int, float] = field(default_factory=OrderedDict)
    """Times at which blocks were cleared by this process's own requests."""
    unreported: dict[tuple[int, int], None] = field(default_factory=dict)
    """Block and crash of the changes that are to be reported."""


def record_crash(
    table: QuarantineTable,
    crash: int,
    blocks: Iterable[int],
    *,
    request: int,
    lag: float | None,
    now: float,
) -> bool:
    """Record the blocks of a request that an upstream was starting to serve.

    ``lag`` is the time from the start of its response to the crash, in seconds, or None
    if it had not started. Returns whether anything has changed. Blocks that were
    cleared lately are left out.
    """
    evidence = [CrashEvidence(block, crash, request, lag) for block in blocks]
    return record_evidence(table, evidence, now)


def record_evidence(
    table: QuarantineTable, evidence: Iterable[CrashEvidence], now: float
) -> bool:
    """Record what this process has seen of a crash; return whether it is news.

    Blocks that were cleared lately are left out.
    """
    suspected = [one for one in evidence if not is_sound(table, one.block, now)]
    changes = merge_evidence(table, suspected, now)
    for one in changes:
        table.unreported[one.block, one.crash] = None

    return bool(changes)


def record_survival(
    table: QuarantineTable, blocks: Collection[int], now: float
) -> bool:
    """Record that an upstream has responded to blocks and lives.

    Returns whether a suspicion has ended.
    """
    for block in blocks:
        table.sound[block] = now
        table.sound.move_to_end(block)

    while len(table.sound) > MAX_SOUND_BLOCKS:
        table.sound.popitem(last=False)

    if not table.blocks:
        return False

    cleared = [clear_block(table, block) for block in blocks if block in table.blocks]
    if not any(cleared):
        return False

    update_groups(table)
    return True


def clear_block(table: QuarantineTable, block: int) -> bool:
    """Clear a block of all crashes; return whether it was suspected of one."""
    changed = False
    for crash, held in table.blocks[block].items():
        if not held.cleared:
            held.cleared = True
            table.unreported[block, crash] = None
            changed = True

    return changed


def retract_crash(table: QuarantineTable, crash: int) -> bool:
    """Clear all blocks of a crash, as its upstream lives; return if any was held."""
    changed = False
    for block, crashes in table.blocks.items():
        held = crashes.get(crash)
        if held is not None and not held.cleared:
            held.cleared = True
            table.unreported[block, crash] = None
            changed = True

    if changed:
        update_groups(table)

    return changed


def is_sound(table: QuarantineTable, block: int, now: float) -> bool:
    """Return whether a block was cleared lately by this process's own requests."""
    return now - table.sound.get(block, -math.inf) <= SOUND_SECONDS


def is_suspected(table: QuarantineTable, request: int, crashes: set[int]) -> bool:
    """Return whether as many upstreams have ended under a request as may.

    ``crashes`` may have ended its own attempts and need not be confirmed yet.
    """
    held = table.blocks.get(request, {})
    unconfirmed = crashes - held.keys()
    return count_similar(held) + len(unconfirmed) >= MAX_ENDED


def has_crashed(table: QuarantineTable, key: int) -> bool:
    """Return whether a block or request is suspected of a crash.

    An upstream that is expected to end may then have been ended by it.
    """
    return bool(list_suspected(table.blocks.get(key, {})))


def is_quarantined(table: QuarantineTable, blocks: Collection[int]) -> bool:
    """Return whether a request with these blocks is quarantined."""
    return find_group(table, blocks) is not None


def find_group(table: QuarantineTable, blocks: Collection[int]) -> int | None:
    """Return the first block of a quarantined group that a request holds, or None."""
    if not table.groups:
        return None

    for block in blocks:
        for group in table.groups.get(block, ()):
            if group.issubset(blocks):
                return min(group)

    return None


def merge_evidence(
    table: QuarantineTable, evidence: Iterable[CrashEvidence], now: float
) -> tuple[CrashEvidence, ...]:
    """Merge evidence; return the changes, for those that don't know them yet."""
    changed: dict[tuple[int, int], None] = {}
    for one in evidence:
        if one.age > QUARANTINE_SECONDS or not merge_one(table, one, now):
            continue

        changed[one.block, one.crash] = None
        if not one.cleared and is_sound(table, one.block, now):
            clear_block(table, one.block)

    if not changed:
        return ()

    drop_excess(table)
    update_groups(table)
    return list_pairs(table, changed, now)


def merge_one(table: QuarantineTable, one: CrashEvidence, now: float) -> bool:
    """Merge one piece of evidence; return whether it has changed what is known."""
    crashes = table.blocks.setdefault(one.block, {})
    held = crashes.get(one.crash)
    if held is None:
        if len(crashes) >= MAX_CRASHES and not drop_cleared(crashes):
            return False

        crashes[one.crash] = Suspicion(one.request, one.lag, one.cleared, now - one.age)
        return True

    merged = Suspicion(
        min(held.request, one.request),
        find_longest(held.lag, one.lag),
        held.cleared or one.cleared,
        held.at,
    )
    crashes[one.crash] = merged
    return merged != held


def drop_cleared(crashes: dict[int, Suspicion]) -> bool:
    """Drop the oldest crash of which a block is cleared; return if there is one."""
    cleared = [crash for crash, held in crashes.items() if held.cleared]
    if not cleared:
        return False

    del crashes[min(cleared, key=lambda crash: crashes[crash].at)]
    return True


def find_longest(lag: float | None, other: float | None) -> float | None:
    """Return the longer one of two lags, of which any may be missing."""
    if lag is None or other is None:
        return other if lag is None else lag

    return max(lag, other)


def list_repeated(
    table: QuarantineTable, now: float, blocks: Iterable[int]
) -> tuple[CrashEvidence, ...]:
    """Return what is known of those of some blocks that were in several crashes.

    Ordinary crashes make many blocks suspect of one, which only controls need to know.
    """
    known = (block for block in set(blocks) if len(table.blocks.get(block, ())) > 1)
    return list_evidence(table, now, known)


def list_evidence(
    table: QuarantineTable, now: float, blocks: Iterable[int] | None = None
) -> tuple[CrashEvidence, ...]:
    """Return what is known of all blocks, or some.

    Of too many, those with the most crashes are listed.
    """
    known = table.blocks if blocks is None else table.blocks.keys() & set(blocks)
    listed = [block for block in known if is_listed(table, block, now)]
    listed.sort(key=lambda block: -len(list_suspected(table.blocks[block])))
    evidence = (
        make_evidence(block, crash, held, now)
        for block in listed
        for crash, held in table.blocks[block].items()
    )
    return tuple(islice(evidence, MAX_LISTED))


def is_listed(table: QuarantineTable, block: int, now: float) -> bool:
    """Return whether the evidence on a block or request is part of full reports."""
    crashes = table.blocks[block]
    if not is_content(block) or len(crashes) > 1:
        return True

    return all(now - held.at <= LISTED_SECONDS for held in crashes.values())


def list_unreported(table: QuarantineTable, now: float) -> tuple[CrashEvidence, ...]:
    """Return this process's own changes that are to be reported."""
    return list_pairs(table, table.unreported, now)


def list_pairs(
    table: QuarantineTable, pairs: Iterable[tuple[int, int]], now: float
) -> tuple[CrashEvidence, ...]:
    """Return what is known of some pairs of block and crash."""
    return tuple(
        make_evidence(block, crash, table.blocks[block][crash], now)
        for block, crash in pairs
        if crash in table.blocks.get(block, {})
    )


def list_outdated(
    table: QuarantineTable, evidence: Iterable[CrashEvidence], now: float
) -> tuple[CrashEvidence, ...]:
    """Return what the sender of some evidence does not know of it yet."""
    outdated = []
    for one in evidence:
        held = table.blocks.get(one.block, {}).get(one.crash)
        if held is not None and held.cleared and not one.cleared:
            outdated.append(make_evidence(one.block, one.crash, held, now))

    return tuple(outdated)


def make_evidence(block: int, crash: int, held: Suspicion, now: float) -> CrashEvidence:
    """Return a suspicion in the form in which it is exchanged."""
    age = round(max(now - held.at, 0.0), 1)
    return CrashEvidence(
        block, crash, held.request, held.lag, cleared=held.cleared, age=age
    )


def list_suspected(crashes: dict[int, Suspicion]) -> dict[int, Suspicion]:
    """Return the crashes of which a block is not cleared."""
    return {crash: held for crash, held in crashes.items() if not held.cleared}


def count_similar(crashes: dict[int, Suspicion]) -> int:
    """Return the most crashes that came as soon as each other, and soon enough.

    One before the start of a response counts as one at its start.
    """
    lags = [held.lag or 0.0 for held in list_suspected(crashes).values()]
    early = sorted(lag for lag in lags if lag < BEGIN_SECONDS)
    return max(
        (
            sum(0.0 <= lag - first < LAG_SPREAD_SECONDS for lag in early)
            for first in early
        ),
        default=0,
    )


def is_conclusive(suspected: Collection[Suspicion]) -> bool:
    """Return whether a block's crashes are too many for ordinary ones."""
    if len({held.request for held in suspected}) < MIN_REQUESTS:
        return False

    weights: defaultdict[int, float] = defaultdict(float)
    for held in suspected:
        weights[held.request] += QUEUED_WEIGHT if held.lag is None else 1.0

    return sum(map(limit_weight, weights.values())) >= MIN_CRASHES


def limit_weight(weight: float) -> float:
    """Return what crashes under one request say against a block that others share.

    Those of a request that is quarantined itself are explained by it.
    """
    return EXPLAINED_WEIGHT if weight >= MAX_ENDED else weight


def update_groups(table: QuarantineTable) -> None:
    """Derive the quarantined groups from the evidence.

    Blocks are taken in the order of what they explain, and only if the crashes that are
    not explained by then are conclusive: the others were in the same requests, or in
    requests that were served beside these.
    """
    table.groups = {
        key: [frozenset({key})]
        for key, crashes in table.blocks.items()
        if is_content(key) and is_suspected(table, key, set())
    }
    explained: set[int] = set()
    for crashes, blocks in rank_candidates(table):
        residual = {crash: crashes[crash] for crash in crashes.keys() - explained}
        if not is_conclusive(residual.values()):
            continue

        explained |= crashes.keys()
        for block in blocks:
            table.groups.setdefault(block, []).append(blocks)


def rank_candidates(
    table: QuarantineTable,
) -> list[tuple[dict[int, Suspicion], frozenset[int]]]:
    """Return conclusive crashes and the blocks in all of them, the likeliest first.

    Crashes are likelier to be caused by a block if there are more of them, and if they
    have followed the start of its responses sooner.
    """
    candidates: dict[tuple[frozenset[int], float], set[int]] = {}
    for block, crashes in table.blocks.items():
        if is_content(block):
            continue

        suspected = list_suspected(crashes)
        if is_conclusive(suspected.values()):
            lag = max(held.lag or 0.0 for held in suspected.values())
            candidates.setdefault((frozenset(suspected), lag), set()).add(block)

    ranked = sorted(candidates, key=lambda key: key[1] / LAG_SECONDS - len(key[0]))
    return [
        (list_suspected(table.blocks[min(blocks)]), frozenset(blocks))
        for key in ranked
        if (blocks := candidates[key])
    ]


def drop_excess(table: QuarantineTable) -> None:
    """Drop the blocks and requests with the fewest crashes, then the oldest."""
    if len(table.blocks) <= MAX_BLOCKS:
        return

    requests = [key for key in table.blocks if is_content(key)]
    drop_least(table, requests, MAX_REQUESTS)
    blocks = [key for key in table.blocks if not is_content(key)]
    drop_least(table, blocks, MAX_BLOCKS)


def drop_least(table: QuarantineTable, keys: list[int], limit: int) -> None:
    """Drop those of some keys above a limit that were in the fewest, oldest crashes."""
    if len(keys) <= limit:
        return

    def rank(block: int) -> tuple[int, float]:
        suspected = list_suspected(table.blocks[block])
        newest = max(held.at for held in table.blocks[block].values())
        return len(suspected), newest

    for block in sorted(keys, key=rank)[: len(keys) - limit]:
        del table.blocks[block]


def drop_expired(table: QuarantineTable, now: float) -> None:
    """Drop evidence that is too old."""
    if not table.blocks:
        return

    kept = {
        block: {
            crash: held
            for crash, held in crashes.items()
            if now - held.at <= find_retention(table, block)
        }
        for block, crashes in table.blocks.items()
    }
    table.blocks = {block: crashes for block, crashes in kept.items() if crashes}
    table.unreported = {
        (block, crash): None
        for block, crash in table.unreported
        if crash in table.blocks.get(block, {})
    }
    update_groups(table)


def find_retention(table: QuarantineTable, block: int) -> float:
    """Return the seconds for which the crashes of a block count."""
    return QUARANTINE_SECONDS if block in table.groups else RETENTION_SECONDS
