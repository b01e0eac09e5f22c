"""HTTP sites with limits on body size and idle time."""

from __future__ import annotations

from typing import Any

from twisted.web.http import datetimeToString
from twisted.web.server import Request

from ..connection_tracking import ConnectionTrackingSite
from .replies import Problem
from .replies import render_problem


class BoundedRequest(Request):
    """A request that is refused as soon as its body is known to be too long.

    Otherwise a caller that sends gigabytes would fill the disk, since twisted.web
    spools a body before any route handles it.
    """

    max_body = 0
    _refused = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose declared length exceeds the limit."""
        if length is not None and length > self.max_body:
            self._refuse()
            return

        super().gotLength(length)  # type: ignore[no-untyped-call]

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Measure a chunked body, and refuse it once it exceeds the limit."""
        if self._refused:
            return

        super().handleContentChunk(data)  # type: ignore[no-untyped-call]
        if self.content is not None and self.content.tell() > self.max_body:
            self._refuse()

    def _refuse(self) -> None:
        self._refused = True
        channel: Any = self.channel
        problem = Problem(
            status=413,
            code="body_too_large",
            message=f"body: more than {self.max_body} bytes",
            param="body",
        )
        body = render_problem(problem)
        head = (
            b"HTTP/1.1 413 Request Entity Too Large\r\n"
            b"date: " + datetimeToString() + b"\r\n"
            b"content-type: application/json\r\nx-outcome: not_run\r\n"
            b"connection: close\r\ncontent-length: %d\r\n\r\n" % len(body)
        )
        channel.transport.write(head + body)
        channel.loseConnection()


def make_site(app: Any, *, max_body: int, timeout: float) -> ConnectionTrackingSite:
    """Return a site with limits; ``timeout`` is the idle time in seconds."""
    request_type = type("LimitedRequest", (BoundedRequest,), {"max_body": max_body})
    site = ConnectionTrackingSite(
        app.resource(), requestFactory=request_type, timeout=timeout
    )
    site.noisy = False
    site.displayTracebacks = False
    site.log = lambda request: None  # type: ignore[method-assign]
    return site
