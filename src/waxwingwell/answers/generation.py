"""Generates the configuration of a workspace from its answers."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING
from typing import Any

from ..records import PRIORITY_ORDER
from ..records import KeyHash
from ..records import Limits
from ..records import Priority
from ..records import RolloutPace
from ..records import ServiceRule
from ..records import VersionId
from ..records import Weighing
from ..records import WorkKind
from ..records import WorkspaceConfig
from ..records import WorkspaceId
from .models import Pace


if TYPE_CHECKING:
    from .models import Answers
    from .models import RolloutAnswers


PACES: dict[Pace, RolloutPace] = {
    Pace.CAREFUL: RolloutPace(
        stages=(0.01, 0.03, 0.1, 0.25, 0.5, 1.0),
        max_unrated=10,
        false_alarm=0.05,
        margin=0.02,
    ),
    Pace.STEADY: RolloutPace(),
    Pace.QUICK: RolloutPace(
        stages=(0.1, 0.5, 1.0), max_unrated=50, false_alarm=0.01, margin=0.05
    ),
}
"""Settings of the predefined paces; ``steady`` is the default."""


def generate_config(answers: Answers, revision: int) -> WorkspaceConfig:
    """Return the configuration that follows from validated answers."""
    priorities = assign_priorities(answers)
    return WorkspaceConfig(
        workspace=WorkspaceId(answers.workspace),
        revision=revision,
        allowed=tuple(VersionId(name) for name in answers.models.allowed),
        kinds=make_kinds(answers, priorities),
        services=make_rules(answers, priorities),
        keys=tuple(
            KeyHash(key.name, key.sha256, key.role, key.revoked) for key in answers.keys
        ),
        weighing=Weighing(
            answers.weights.cost, answers.weights.latency, answers.weights.exposure
        ),
        limits=Limits(
            requests_per_second=answers.limits.requests_per_second,
            max_in_flight=answers.limits.max_in_flight,
            max_wait=answers.limits.max_wait_seconds,
            max_body=answers.limits.max_body_bytes,
        ),
        pace=choose_pace(answers.rollout),
        data_centres=tuple(answers.data_centres),
        default_kind=answers.default_kind or answers.kinds[0].name,
    )


def assign_priorities(answers: Answers) -> dict[str, Priority]:
    """Return the priority of each kind and call, by its group in ``who_waits``."""
    return {
        name: PRIORITY_ORDER[rank]
        for rank, group in enumerate(answers.who_waits)
        for name in group
    }


def make_kinds(
    answers: Answers, priorities: dict[str, Priority]
) -> tuple[WorkKind, ...]:
    """Return the kinds of work."""
    return tuple(
        WorkKind(
            name=kind.name,
            priority=priorities[kind.name],
            quality_target=kind.quality_target,
            waits_for_whole=kind.waits_for_whole,
        )
        for kind in answers.kinds
    )


def make_rules(
    answers: Answers, priorities: dict[str, Priority]
) -> tuple[ServiceRule, ...]:
    """Return the rules of the plain services, the longest path prefix first.

    The entry applies the matching rule with the longest prefix. In this order that is
    the first rule of a service that matches, so the listing shows the precedence.
    """
    rules = [
        ServiceRule(
            service=service.name,
            path_prefix=call.path,
            methods=tuple(method.value for method in call.methods),
            repeatable=call.repeatable,
            priority=priorities[call.name],
        )
        for service in answers.services
        for call in service.calls
    ]
    return tuple(sorted(rules, key=lambda rule: (rule.service, -len(rule.path_prefix))))


def choose_pace(rollout: RolloutAnswers) -> RolloutPace:
    """Return the predefined pace, overridden by the settings in the answers."""
    pace = PACES[rollout.pace or Pace.STEADY]
    overrides: dict[str, Any] = rollout.model_dump(exclude={"pace"}, exclude_none=True)
    return dataclasses.replace(pace, **overrides)
