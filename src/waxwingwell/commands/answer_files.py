"""Reads, checks and writes files with answers."""

from __future__ import annotations

import json
import secrets
from typing import TYPE_CHECKING

from returns.pipeline import is_successful

from ..answers.findings import check_answers
from ..keys import hash_key
from .exits import ExitCode
from .exits import exit_with
from .exits import render_findings


if TYPE_CHECKING:
    from collections.abc import Collection
    from pathlib import Path

    from ..answers.models import Answers


KEY_BYTES = 32
"""Random bytes of a new key."""
KEY_PREFIX = "wax_"


def read_file(path: Path) -> bytes:
    """Return a file's bytes; an unreadable file ends the command."""
    try:
        return path.read_bytes()
    except OSError as error:
        exit_with(ExitCode.BAD_INPUT, f"{path}: {error.strerror}")


def check_file(path: Path, versions: Collection[str] | None) -> Answers:
    """Return a file's answers; if any are invalid, print all findings and exit."""
    result = check_answers(read_file(path), versions=versions)
    if is_successful(result):
        return result.unwrap()

    findings = result.failure()
    count = f"{path}: {len(findings)} finding{'s' if len(findings) > 1 else ''}"
    exit_with(ExitCode.BAD_INPUT, count, *render_findings(findings))
    return None


def write_new(path: Path, text: str) -> None:
    """Write a new file; exit if it exists, so that no answers are overwritten."""
    try:
        with path.open("x", encoding="utf-8") as file:
            file.write(text)
    except FileExistsError:
        exit_with(ExitCode.BAD_INPUT, f"{path}: this file already exists")
    except OSError as error:
        exit_with(ExitCode.BAD_INPUT, f"{path}: {error.strerror}")


def render_answers(answers: object) -> str:
    """Return answers as indented JSON for editing."""
    return json.dumps(answers, indent=2, ensure_ascii=False) + "\n"


def create_key() -> tuple[str, str]:
    """Return a new key and its digest; the key itself is not stored."""
    key = KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
    return key, hash_key(key)


def make_template(workspace: str, digest: str) -> dict[str, object]:
    """Return initial answers; each is an example to be replaced."""
    return {
        "questionnaire": 1,
        "revises": 0,
        "workspace": workspace,
        "team": "",
        "kinds": [
            {
                "name": "question",
                "what": "Short questions, streamed",
                "quality_target": 0.75,
                "waits_for_whole": False,
            },
            {
                "name": "report",
                "what": "Long reports",
                "quality_target": 0.85,
                "waits_for_whole": True,
            },
        ],
        "default_kind": "question",
        "services": [
            {
                "name": "bookings",
                "calls": [
                    {
                        "name": "order",
                        "path": "/orders",
                        "methods": ["POST"],
                        "repeatable": False,
                    },
                    {
                        "name": "lookup",
                        "path": "/",
                        "methods": ["GET", "HEAD"],
                        "repeatable": True,
                    },
                ],
            }
        ],
        "who_waits": [["order", "lookup"], ["question"], ["report"]],
        "models": {"allowed": ["small@1", "large@1"], "never": []},
        "weights": {"cost": 1, "latency": 1, "exposure": 1},
        "limits": {
            "requests_per_second": 50,
            "max_in_flight": 64,
            "max_wait_seconds": 10,
            "max_body_bytes": 1000000,
        },
        "rollout": {"pace": "steady"},
        "data_centres": [],
        "keys": [{"name": "app", "sha256": digest, "role": "caller"}],
    }
