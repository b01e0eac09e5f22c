"""Evidence on quarantined prompt blocks in the data folder.

Gateways and controls tell it to each other as they restart. The file is for the case
that all of them end at once.
"""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import msgspec

from ...routing.messages import CrashEvidence
from ...routing.quarantine import list_evidence
from ...routing.quarantine import merge_evidence
from ...state.storage import sync_folder
from ..events import log_event


if TYPE_CHECKING:
    from pathlib import Path

    from .context import RegistryContext


FILE_NAME = "quarantine.msgpack"
RETRY_SECONDS = 1.0
"""Seconds after which a write that has failed is repeated."""


def load_evidence(context: RegistryContext) -> None:
    """Load the evidence of an earlier process; a file that can't be read is ignored."""
    path = context.settings.data_folder / FILE_NAME
    try:
        data = path.read_bytes()
        evidence = msgspec.msgpack.decode(data, type=tuple[CrashEvidence, ...])
    except FileNotFoundError:
        return
    except (
        OSError,
        RecursionError,
        UnicodeDecodeError,
        msgspec.MsgspecError,
    ) as error:
        log_event("registry: Evidence is unreadable", reason=f"{path}: {error}")
        return

    merge_evidence(context.quarantine, evidence, context.clock())
    context.stored_blocks = frozenset(context.quarantine.groups)


def store_evidence(context: RegistryContext, now: float) -> None:
    """Store the evidence durably if other blocks are quarantined than were stored."""
    blocks = frozenset(context.quarantine.groups)
    if blocks == context.stored_blocks or now < context.store_evidence_at:
        return

    evidence = list_evidence(context.quarantine, now, blocks)
    folder = context.settings.data_folder
    try:
        replace_file(folder, msgspec.msgpack.encode(evidence))
    except OSError as error:
        log_event("registry: Evidence not stored", reason=f"{folder}: {error}")
        context.store_evidence_at = now + RETRY_SECONDS
        return

    context.stored_blocks = blocks


def replace_file(folder: Path, data: bytes) -> None:
    """Replace the file atomically and durably; raise ``OSError`` if that fails."""
    path = folder / FILE_NAME
    written = path.with_suffix(".new")
    with written.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())

    written.replace(path)
    sync_folder(folder)
