"""Exit codes of the command line, and helpers that end a command early."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import NoReturn
from typing import TypeVar

from returns.pipeline import is_successful

from ..adapters.admin_client import Problem
from ..adapters.admin_client import ProblemKind


if TYPE_CHECKING:
    from collections.abc import Iterable

    from returns.result import Result

    from ..records import Finding


ValueT = TypeVar("ValueT")


class ExitCode(IntEnum):
    """Exit codes that scripts may rely on."""

    OK = 0
    REFUSED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4


def exit_with(code: ExitCode, *lines: str) -> NoReturn:
    """Print lines to standard error and exit."""
    for line in lines:
        print(line, file=sys.stderr)

    raise SystemExit(int(code))


def render_findings(findings: Iterable[Finding]) -> list[str]:
    """Return one line for each finding."""
    return [f"{finding.place}: {finding.message}" for finding in findings]


def unwrap_or_exit(result: Result[ValueT, Problem], *hints: str) -> ValueT:
    """Return a result's value, or print its problem and exit with its code."""
    if is_successful(result):
        return result.unwrap()

    problem = result.failure()
    lines = [problem.message, *render_findings(problem.findings), *hints]
    refused = problem.kind is ProblemKind.REFUSED
    exit_with(ExitCode.REFUSED if refused else ExitCode.UNAVAILABLE, *lines)
