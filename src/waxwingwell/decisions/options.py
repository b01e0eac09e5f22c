"""The eligible versions of a request, with their cost and estimated quality."""

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
"""Number of own ratings below which a version is unknown, whatever its prior."""
SINGLE_TARGET_SLACK = 0.01
"""Rating points by which the target is lowered when credit is at its cap."""
TARGET_RAISE_PER_DEBT = 0.01
"""Increase of the target per rating point of debt."""
MAX_TARGET_RAISE = 0.05
"""Maximum increase of the target, in rating points."""


@dataclass(frozen=True, slots=True)
class Option:
    """An eligible version with its expected cost and quality for the request."""

    version: VersionId
    cost: float
    estimate: Estimate


@dataclass(frozen=True, slots=True)
class ChoiceContext:
    """Data shared by all steps of one version choice."""

    config: WorkspaceConfig
    work: Work
    options: tuple[Option, ...]
    account: QualityAccount
    target: float
    caution: float
    """Standard errors by which a version's mean must exceed the target."""


def build_context(
    tables: Tables,
    config: WorkspaceConfig,
    work: Work,
    eligible: tuple[VersionSpec, ...],
) -> ChoiceContext:
    """Return the context with the eligible versions, cheapest first."""
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
    """Return the expected price of the request, in micro-units."""
    return spec.price_in * work.prompt_tokens + spec.price_out * work.answer_tokens


def is_confident(context: ChoiceContext, option: Option) -> bool:
    """Return whether a version meets the target with the required confidence."""
    estimate = option.estimate
    if estimate.rated < MIN_RATINGS:
        return False

    reduced_target = context.target - SINGLE_TARGET_SLACK * get_spare_credit(context)
    return estimate.mean - context.caution * estimate.error >= reduced_target


def find_primary(context: ChoiceContext) -> Option:
    """Return the cheapest confident option, or else the one with the best upper bound.

    If all known versions miss the target, and options were ranked by a lower bound, a
    better unknown one would never get a request: its large error would count against
    it.
    """
    for option in context.options:
        if is_confident(context, option):
            return option

    return max(
        context.options, key=lambda option: option.estimate.mean + option.estimate.error
    )


def find_safest(context: ChoiceContext) -> Option:
    """Return the cheapest confident option, or else the best by lower bound."""
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
    """Return the spare credit, from 0 at half of the cap to 1 at the cap.

    Versions close to the target stay uncertain, so an expensive one far above it would
    serve all requests and exceed the requested quality. Spare credit lowers the
    target; if that lowers it too far, the credit falls and the target recovers.
    """
    return max(0.0, 2.0 * context.account.credit / CREDIT_CAP - 1.0)
