"""What is known of each open version for the request at hand."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..records import VersionId
from ..records import WorkspaceConfig
from .accounts import CREDIT_CAP
from .eligibility import get_exposure_weight
from .quality import Estimate
from .quality import estimate_quality
from .tables import QualityAccount
from .tables import Work


if TYPE_CHECKING:
    from ..records import VersionSpec
    from .tables import Tables


MIN_RATINGS = 8.0
"""Own ratings below which a version is unknown, whatever its prior says."""
SINGLE_TARGET_SLACK = 0.01
"""How far below the target a version may be when credit is at its cap."""
TARGET_RAISE_PER_DEBT = 0.01
"""Rise of the target for each rating point of debt."""
MAX_TARGET_RAISE = 0.05


@dataclass(frozen=True, slots=True)
class Option:
    """An open version with what is known of it for the request at hand."""

    version: VersionId
    cost: float
    estimate: Estimate


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """What all steps of one choice need."""

    config: WorkspaceConfig
    work: Work
    options: tuple[Option, ...]
    account: QualityAccount
    target: float
    caution: float
    """Standard errors by which a mean must exceed the target."""


def build_context(
    tables: Tables,
    config: WorkspaceConfig,
    work: Work,
    eligible: tuple[VersionSpec, ...],
) -> ChoiceContext:
    """Return the open versions, cheapest first, with target and caution."""
    options = [
        Option(
            spec.version,
            get_cost(spec, work),
            estimate_quality(tables, work.workspace, work.kind.name, spec.version),
        )
        for spec in eligible
    ]
    options.sort(key=lambda option: (option.cost, option.version))
    account = tables.accounts.get((work.workspace, work.kind.name), QualityAccount())
    target_raise = min(
        MAX_TARGET_RAISE, max(0.0, -account.credit) * TARGET_RAISE_PER_DEBT
    )
    base_caution = 0.5 + 2.0 * get_exposure_weight(config)
    return ChoiceContext(
        config=config,
        work=work,
        options=tuple(options),
        account=account,
        target=work.kind.quality_target + target_raise,
        caution=base_caution * (1.0 - max(-1.0, account.credit / CREDIT_CAP)),
    )


def get_cost(spec: VersionSpec, work: Work) -> float:
    """Return the expected price of an answer, in micro-units."""
    return spec.price_in * work.prompt_tokens + spec.price_out * work.answer_tokens


def is_confident(context: ChoiceContext, option: Option) -> bool:
    """Tell whether a version meets the target with the caution asked for."""
    estimate = option.estimate
    if estimate.rated < MIN_RATINGS:
        return False

    reduced_target = context.target - SINGLE_TARGET_SLACK * get_spare_credit(context)
    return estimate.mean - context.caution * estimate.error >= reduced_target


def find_primary(context: ChoiceContext) -> Option:
    """Return the cheapest confident option, or else the most promising one.

    Failure: the best version known misses the target, and a better but unknown one
    never gets a request because caution counts against it. Its chances count here.
    """
    for option in context.options:
        if is_confident(context, option):
            return option

    return max(
        context.options, key=lambda option: option.estimate.mean + option.estimate.error
    )


def find_safest(context: ChoiceContext) -> Option:
    """Return the cheapest confident option, or else the one least likely to be bad."""
    for option in context.options:
        if is_confident(context, option):
            return option

    return max(
        context.options,
        key=lambda option: (
            option.estimate.mean - context.caution * option.estimate.error
        ),
    )


def get_spare_credit(context: ChoiceContext) -> float:
    """Return how much credit there is to spare, 0 to 1 at the cap.

    Failure: versions on the target's edge stay unsure, a dear one far above it
    serves everything, and quality is paid for that nobody asked for. With credit to
    spare the aim is trimmed; credit falls when that was too much, and ends it.
    """
    return max(0.0, 2.0 * context.account.credit / CREDIT_CAP - 1.0)
