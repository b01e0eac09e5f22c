"""The checkpoints of a control in its data folder.

One is written several times a second and outlives the process; a loss of power may tear
it. The other is synced, and is written as a quarantine begins or ends, which binds for
longer than a VM takes to start.
"""

from __future__ import annotations

import os
import threading
import zlib
from typing import TYPE_CHECKING

import msgspec

from ...routing.checkpoints import Checkpoint
from ...routing.checkpoints import apply_checkpoint
from ...routing.checkpoints import make_checkpoint
from ...state.storage import sync_folder
from ..events import log_event


if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from .context import RegistryContext


FILE_NAME = "checkpoint.msgpack"
DURABLE_NAME = "quarantine.checkpoint.msgpack"
CHECKPOINT_SECONDS = 0.25
"""Seconds between two checkpoints; what gateways report meanwhile may be lost."""
RETRY_SECONDS = 1.0
"""Seconds after which a write that has failed is repeated."""
CHECKSUM_BYTES = 4


def start_thread(run: Callable[[], None]) -> None:
    """Run a function in a thread that does not keep the process from ending."""
    threading.Thread(target=run, daemon=True).start()


def load_checkpoints(context: RegistryContext, started_at: float) -> None:
    """Load the checkpoints of an earlier process; an unreadable one is ignored.

    ``started_at`` is the start of this process.
    """
    for name in (DURABLE_NAME, FILE_NAME):
        load_checkpoint(context, context.settings.data_folder / name, started_at)

    context.stored_blocks = frozenset(context.quarantine.groups)


def load_checkpoint(context: RegistryContext, path: Path, started_at: float) -> None:
    """Load one checkpoint of an earlier process."""
    try:
        checkpoint = decode_checkpoint(path.read_bytes())
    except FileNotFoundError:
        return
    except (OSError, RecursionError, ValueError, msgspec.MsgspecError) as error:
        log_event("registry: Checkpoint is unreadable", reason=f"{path}: {error}")
        return

    now = context.clock()
    is_recent = apply_checkpoint(
        context.reports, context.quarantine, checkpoint, context.boot, started_at, now
    )
    log_event(
        "registry: Checkpoint loaded",
        name=path.name,
        age=round(now - checkpoint.saved_at, 2),
        recent=is_recent,
    )


def decode_checkpoint(data: bytes) -> Checkpoint:
    """Return a stored checkpoint; raise ``ValueError`` if it is torn."""
    body = data[CHECKSUM_BYTES:]
    if data[:CHECKSUM_BYTES] != make_checksum(body):
        raise ValueError("the checksum does not match")

    return msgspec.msgpack.decode(body, type=Checkpoint)


def make_checksum(body: bytes) -> bytes:
    """Return the checksum of an encoded checkpoint."""
    return zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big")


def store_checkpoint(context: RegistryContext, now: float) -> None:
    """Store a checkpoint if one is due, beside the reactor, as a disk may hang.

    It is synced if other blocks are quarantined than were stored.
    """
    if context.storing or now < context.store_at:
        return

    if context.store_error:
        log_event("registry: Checkpoint not stored", reason=context.store_error)
        context.store_error = ""

    blocks = frozenset(context.quarantine.groups)
    checkpoint = make_checkpoint(context.reports, context.quarantine, context.boot, now)
    body = msgspec.msgpack.encode(checkpoint)
    data = make_checksum(body) + body
    context.storing = True
    context.store_at = now + CHECKPOINT_SECONDS

    def write() -> None:
        folder = context.settings.data_folder
        durable = blocks != context.stored_blocks
        path = folder / (DURABLE_NAME if durable else FILE_NAME)
        try:
            replace_file(path, data, durable=durable)
            context.stored_blocks = blocks
        except OSError as error:
            context.store_error = f"{folder}: {error}"
            context.store_at = now + RETRY_SECONDS
        finally:
            context.storing = False

    context.run_beside(write)


def replace_file(path: Path, data: bytes, *, durable: bool) -> None:
    """Replace a file atomically; raise ``OSError`` if that fails.

    If ``durable``, it also survives a loss of power.
    """
    written = path.with_suffix(".new")
    with written.open("wb") as file:
        file.write(data)
        if durable:
            file.flush()
            os.fsync(file.fileno())

    written.replace(path)
    if durable:
        sync_folder(path.parent)
