"""Choice of a chat's version, pinned in the ledger for sessions."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ...decisions.tables import Refusal
from ...decisions.tables import Work
from ...decisions.versions import VersionChoice
from ...decisions.versions import choose_version
from .ledger import find_pin
from .ledger import pin_session
from .replies import Problem
from .replies import make_problem


if TYPE_CHECKING:
    from ...records import Usage
    from ...records import VersionId
    from .context import EntryContext


@dataclass(frozen=True, slots=True)
class ChosenWork:
    """Work and its version plan; for sessions the work holds the pinned version."""

    work: Work
    choice: VersionChoice


async def choose_work(context: EntryContext, work: Work) -> ChosenWork:
    """Return the version plan; a session's first request pins its version.

    Two entries may choose for one session at the same time. The first pin in the
    ledger wins, and the other entry chooses again with that pin.
    """
    pinned = replace(work, pinned=find_pin(context, work))
    choice = _choose(context, pinned)
    if not work.session or pinned.pinned:
        return ChosenWork(work=pinned, choice=choice)

    pinned_version = await pin_session(context, work, choice.plan[0])
    pinned = replace(work, pinned=pinned_version)
    return ChosenWork(work=pinned, choice=_choose(context, pinned))


def price_usage(context: EntryContext, version: VersionId, usage: Usage) -> Usage:
    """Return the usage with its price in micro-units filled in."""
    spec = context.tables.versions.get(version)
    if spec is None:
        return usage

    cost = usage.prompt_tokens * spec.price_in + usage.answer_tokens * spec.price_out
    return replace(usage, cost=round(cost))


def _choose(context: EntryContext, work: Work) -> VersionChoice:
    choice = choose_version(
        context.tables, work, now=context.clock(), draw=context.random.random()
    )
    if isinstance(choice, Refusal):
        raise make_problem(choice)

    if not choice.plan:
        raise Problem(status=503, code="no_version", message="no version is open")

    return choice
