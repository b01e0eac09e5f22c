"""``waxwingwell rollout`` and ``register``: change the versions of models."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

from ..adapters.admin_client import fetch_view
from ..answers.generation import PACES
from ..answers.models import Pace
from ..messages import RegisterVersion
from ..messages import StartRollout
from ..messages import StepRollout
from ..messages import WithdrawVersion
from ..records import RolloutStatus
from ..records import VersionId
from ..records import VersionSpec
from ..state.catalogue import rollout_subject
from ..state.catalogue import version_subject
from .changes import OPERATOR
from .changes import make_change_id
from .changes import submit_change
from .connection import fetch_config
from .connection import open_client
from .exits import ExitCode
from .exits import exit_with
from .exits import unwrap_or_exit
from .output import format_time
from .output import print_json
from .output import print_table


if TYPE_CHECKING:
    from ..adapters.admin_client import AdminClient
    from ..adapters.admin_views import ConfigView
    from ..records import Rollout


def show(json: bool = False) -> None:
    """Show the progress of each model's roll-out."""
    view = fetch_config(open_client())
    if json:
        print_json(view.rollouts)
        return

    print_table(
        ("model", "candidate", "incumbent", "status", "share", "since (UTC)", "reason"),
        [
            (
                row.model,
                row.candidate,
                row.incumbent,
                row.status,
                f"{row.pace.stages[row.stage]:.0%}",
                format_time(row.stage_at),
                row.reason,
            )
            for row in view.rollouts
        ],
    )


def start(
    model: str,
    candidate: str,
    incumbent: str,
    pace: str = "steady",
    revision: int = -1,
    wait: bool = True,
    change_id: str = "",
) -> None:
    """Start to move a model's new sessions from one version to another."""
    if pace not in tuple(Pace):
        exit_with(ExitCode.BAD_INPUT, f"pace: {pace!r} is not one of {', '.join(Pace)}")

    client = open_client()
    change = StartRollout(
        change_id=make_change_id(str(change_id)),
        operator=OPERATOR,
        expected_revision=choose_revision(
            client, rollout_subject(str(model)), revision
        ),
        at=time.time(),
        model=str(model),
        candidate=VersionId(str(candidate)),
        incumbent=VersionId(str(incumbent)),
        pace=PACES[Pace(pace)],
    )
    submit_change(client, change, wait=wait)


def pause(model: str, reason: str = "", revision: int = -1, wait: bool = True) -> None:
    """Hold a roll-out at its stage until it is resumed."""
    step(model, RolloutStatus.PAUSED, reason, revision, wait)


def resume(model: str, reason: str = "", revision: int = -1, wait: bool = True) -> None:
    """Let a paused roll-out continue from its stage."""
    step(model, RolloutStatus.RUNNING, reason, revision, wait)


def step(
    model: str, status: RolloutStatus, reason: str, revision: int, wait: bool
) -> None:
    """Change a roll-out's status at its current stage."""
    client = open_client()
    view = fetch_config(client)
    change = StepRollout(
        change_id=make_change_id(),
        operator=OPERATOR,
        expected_revision=choose_revision(
            client, rollout_subject(str(model)), revision
        ),
        at=time.time(),
        model=str(model),
        stage=find_rollout(view, str(model)).stage,
        status=status.value,
        reason=str(reason),
    )
    submit_change(client, change, wait=wait)


def withdraw(
    version: str,
    graceful: bool = False,
    revision: int = -1,
    wait: bool = True,
    change_id: str = "",
) -> None:
    """Withdraw a version at once; ``--graceful`` lets its sessions end first."""
    client = open_client()
    change = WithdrawVersion(
        change_id=make_change_id(str(change_id)),
        operator=OPERATOR,
        expected_revision=choose_revision(
            client, version_subject(str(version)), revision
        ),
        at=time.time(),
        version=VersionId(str(version)),
        graceful=graceful,
    )
    submit_change(client, change, wait=wait)


def register(
    version: str,
    price_in: float,
    price_out: float,
    quality_prior: float = 0.5,
    revision: int = -1,
    wait: bool = True,
    change_id: str = "",
) -> None:
    """Register a version (``model@version``) or correct its prices and prior.

    Prices are in micro-units of the currency per token.
    """
    client = open_client()
    view = fetch_config(client)
    name = VersionId(str(version))
    before = [spec.status for spec in view.versions if spec.version == name]
    try:
        spec = VersionSpec(
            version=name,
            model=name.partition("@")[0],
            price_in=float(price_in),
            price_out=float(price_out),
            quality_prior=float(quality_prior),
        )
    except ValueError as error:
        exit_with(ExitCode.BAD_INPUT, f"a price or the prior is not a number: {error}")

    if before:
        spec = replace(spec, status=before[0])

    change = RegisterVersion(
        change_id=make_change_id(str(change_id)),
        operator=OPERATOR,
        expected_revision=choose_revision(client, version_subject(name), revision),
        at=time.time(),
        spec=spec,
    )
    submit_change(client, change, wait=wait)


def choose_revision(client: AdminClient, subject: str, given: int) -> int:
    """Return the revision that a change expects: the given or the current one."""
    if given >= 0:
        return int(given)

    revisions = unwrap_or_exit(fetch_view(client, "/revisions", dict[str, int]))
    return revisions.get(subject, 0)


def find_rollout(view: ConfigView, model: str) -> Rollout:
    """Return a model's roll-out."""
    for row in view.rollouts:
        if row.model == model:
            return row

    exit_with(ExitCode.REFUSED, f"there is no roll-out of {model!r}")
    return None


ROLLOUT = {
    "show": show,
    "start": start,
    "pause": pause,
    "resume": resume,
    "withdraw": withdraw,
}
"""The group's commands by name."""
