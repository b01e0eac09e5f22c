"""Errors of the adapters."""

from __future__ import annotations


class LinkError(Exception):
    """A call over a link between two processes of the system failed."""


class LinkDownError(LinkError):
    """The call was not sent: the link is down, closing or congested."""


class LinkLostError(LinkError):
    """The connection was lost, or the call timed out, after the call was sent."""


class SettingsError(Exception):
    """The settings are invalid; the text lists every fault with its place."""


class TlsFileError(Exception):
    """A certificate or key cannot be used; the text names the path."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(reason)
        self.place = place
        self.reason = reason


class ControlUnavailableError(Exception):
    """No control leader replied in time."""

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


class HaltedError(Exception):
    """A control process cannot continue and must be restarted."""
