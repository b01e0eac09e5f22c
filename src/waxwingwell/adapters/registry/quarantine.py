"""Calls of operators to a registry that show and end quarantines of prompt blocks."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ...routing.quarantine import list_evidence
from ...routing.quarantine import list_suspected
from ..admin_views import ErrorView
from ..admin_views import QuarantinedBlock
from ..admin_views import QuarantineView
from ..events import log_event
from .announcements import broadcast_evidence
from .responses import send_view


if TYPE_CHECKING:
    from ..http.responder import Responder
    from .context import RegistryContext


METHODS = ("GET", "DELETE")


def handle_quarantine(
    context: RegistryContext, method: str, body: bytes, responder: Responder
) -> None:
    """Handle a call: show the quarantined blocks, or end all quarantines."""
    if method not in METHODS:
        message = f"method {method}: this path accepts {', '.join(METHODS)}"
        header = (b"Allow", ", ".join(METHODS).encode())
        send_view(responder, 405, ErrorView(message), header)
    elif body:
        send_view(responder, 400, ErrorView("body: the call must have none"))
    elif method == "GET":
        send_view(responder, 200, show_blocks(context))
    else:
        view = show_blocks(context)
        release_blocks(context)
        send_view(responder, 200, view)


def show_blocks(context: RegistryContext) -> QuarantineView:
    """Return the quarantined blocks that this control knows."""
    table = context.quarantine
    return QuarantineView(
        tuple(
            QuarantinedBlock(f"{block:016x}", len(list_suspected(table.blocks[block])))
            for block in sorted(table.groups)
        )
    )


def release_blocks(context: RegistryContext) -> None:
    """Clear the quarantined blocks of all crashes, at all controls and gateways."""
    blocks = tuple(context.quarantine.groups)
    evidence = list_evidence(context.quarantine, context.clock(), blocks)
    log_event("registry: Quarantine released", blocks=len(blocks))
    cleared = [msgspec.structs.replace(one, cleared=True) for one in evidence]
    broadcast_evidence(context, cleared)
