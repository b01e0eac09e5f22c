"""Errors of the adapters."""

from __future__ import annotations


class LinkError(Exception):
    """A call over a link between two of our processes failed."""


class LinkDownError(LinkError):
    """There was no connection: the call was never sent."""


class LinkLostError(LinkError):
    """The connection went away, or the time ran out, after the call was sent."""


class SettingsError(Exception):
    """The settings have faults; the text lists every one with its place."""


class TlsFileError(Exception):
    """A certificate or key can't be used; the text names the path."""

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(reason)
        self.place = place
        self.reason = reason


class ControlUnavailableError(Exception):
    """No control leader answered in time."""

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


class HaltedError(Exception):
    """A control process can't go on and must be started anew."""
