"""The response to one request."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable

    from .connection import HttpConnection
    from .records import HeaderList


class Responder:
    """Sends the response to one request."""

    __slots__ = (
        "_connection",
        "ended",
        "holding",
        "lost_reason",
        "on_lost",
        "on_pause",
        "on_resume",
        "request_id",
        "started",
    )

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self.holding = connection.holding
        """What the connection takes up."""
        self.request_id = ""
        """Identifies the request in the log."""
        self.started = False
        self.ended = False
        self.lost_reason = ""
        """Why this end has closed the connection, if it has."""
        self.on_lost: Callable[[], None] = lambda: None
        self.on_pause: Callable[[], None] = lambda: None
        """Called when the caller has too many bytes left to read."""
        self.on_resume: Callable[[], None] = lambda: None
        """Called when the caller has read most of them."""

    def has_room(self) -> bool:
        """Return whether more may be held for the request."""
        return self._connection.has_room()

    def send(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a complete response."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        self.write(body)
        self.finish()

    def start(self, status: int, headers: HeaderList) -> None:
        """Send status and headers; without a length the body is sent chunked."""
        if self.ended:
            return

        self.started = True
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        if data and not self.ended:
            self._connection.send_data(data)

    def finish(self) -> None:
        """Finish the response; the connection may be reused."""
        if not self.ended:
            self.ended = True
            self._connection.finish_response()

    def abort(self) -> None:
        """Abort the response, so that it can't be mistaken for a complete one."""
        if not self.ended:
            self.ended = True
            self._connection.abort()
