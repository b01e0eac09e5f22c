"""Evidence on the versions of a service, collected from the counters of gateways."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from .messages import VersionEvidence


@dataclass(frozen=True, slots=True)
class Evidence:
    """Responses of one version over all gateways since the start of the roll-out."""

    answers: int = 0
    failures: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class EvidenceTable:
    """Evidence on a service's versions since the start of a roll-out.

    A gateway's counters start from zero when it restarts. If only the latest counters
    were summed, its former failures would be lost, and a bad version would continue for
    as long as gateways restart.
    """

    last_counters: dict[tuple[str, str], Evidence] = field(default_factory=dict)
    """Latest counters by gateway and version."""
    totals: dict[str, Evidence] = field(default_factory=dict)
    """Totals over the gateways and their restarts, by version."""


def add_evidence(parts: Iterable[VersionEvidence | Evidence]) -> Evidence:
    """Return the sum of evidence."""
    answers = failures = 0
    seconds = 0.0
    for part in parts:
        answers += part.answers
        failures += part.failures
        seconds += part.seconds

    return Evidence(answers, failures, seconds)


def subtract_evidence(after: Evidence, before: Evidence) -> Evidence:
    """Return the difference; counters that restarted from zero count in full."""
    if after.answers < before.answers:
        return after

    return Evidence(
        after.answers - before.answers,
        max(after.failures - before.failures, 0),
        max(after.seconds - before.seconds, 0.0),
    )


def record_counters(
    table: EvidenceTable, gateway: str, parts: Sequence[VersionEvidence]
) -> None:
    """Add the increase of a gateway's counters of a service since its last report.

    Missing counters mean that the process has restarted, and its counters with it.
    """
    present = {part.version for part in parts}
    for key in [key for key in table.last_counters if key[0] == gateway]:
        if key[1] not in present:
            del table.last_counters[key]

    for part in parts:
        key = (gateway, part.version)
        latest = add_evidence([part])
        gained = subtract_evidence(latest, table.last_counters.get(key, Evidence()))
        table.last_counters[key] = latest
        total = table.totals.get(part.version, Evidence())
        table.totals[part.version] = add_evidence([total, gained])


def split_evidence(table: EvidenceTable, target: str) -> tuple[Evidence, Evidence]:
    """Return the evidence on the target, and the sum over all other versions."""
    others = [total for version, total in table.totals.items() if version != target]
    return table.totals.get(target, Evidence()), add_evidence(others)
