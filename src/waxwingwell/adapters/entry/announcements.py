"""HTTP API on which upstreams announce themselves."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec
from klein import Klein

from ...records import Announcement
from ...records import Finding
from ...state.membership import apply_announcement
from ...state.membership import get_lease_seconds
from ..decoding import decode_json
from .replies import JSON
from .replies import Problem
from .replies import write_problem


if TYPE_CHECKING:
    from .context import EntryContext


MAX_ANNOUNCEMENT_BYTES = 65_536
"""Largest accepted body of an announcement."""


class AnnouncementTaken(msgspec.Struct, frozen=True):
    """Response to an announcement."""

    taken: bool
    """False for a late or duplicate announcement, or one of an old incarnation."""
    lease: float
    """Seconds for which the announcement is valid at this entry."""


def make_upstream_app(context: EntryContext) -> Klein:
    """Return the web application that upstreams call."""
    app = Klein()

    @app.route("/v1/upstreams/announce", methods=["POST"])
    def receive(request: Any) -> bytes:
        body = request.content.read(MAX_ANNOUNCEMENT_BYTES + 1)
        try:
            announcement = parse_announcement(body)
        except Problem as problem:
            return write_problem(request, problem)

        taken = apply_announcement(context.tables, announcement, 0.0, context.clock())
        request.setHeader("content-type", JSON)
        reply = AnnouncementTaken(taken=taken, lease=get_lease_seconds(announcement))
        return msgspec.json.encode(reply)

    return app


def parse_announcement(body: bytes) -> Announcement:
    """Return a validated announcement.

    ``Problem`` 413 if the body is too long; 400 if it can't be decoded or has invalid
    fields, which are all named.
    """
    if len(body) > MAX_ANNOUNCEMENT_BYTES:
        raise Problem(
            status=413, code="body_too_large", message="body: too long", param="body"
        )

    try:
        announcement = decode_json(body, Announcement)
    except msgspec.DecodeError as error:
        raise Problem(
            status=400, code="invalid_announcement", message=str(error), param="body"
        ) from error

    findings = _validate_announcement(announcement)
    if findings:
        raise Problem(
            status=400,
            code="invalid_announcement",
            message="; ".join(f"{item.place}: {item.message}" for item in findings),
            findings=findings,
            param=findings[0].place,
        )

    return announcement


def _validate_announcement(announcement: Announcement) -> tuple[Finding, ...]:
    findings = []
    if not announcement.upstream:
        findings.append(Finding(place="upstream", message="must not be empty"))

    if not 0 < announcement.port < 65536:
        findings.append(Finding(place="port", message="must be 1 to 65535"))

    if not announcement.lease > 0:
        findings.append(Finding(place="lease", message="must be above 0 seconds"))

    if announcement.capacity < 1:
        findings.append(Finding(place="capacity", message="must be at least 1"))

    if not announcement.versions and not announcement.service:
        findings.append(Finding(place="versions", message="name versions or a service"))

    return tuple(findings)
