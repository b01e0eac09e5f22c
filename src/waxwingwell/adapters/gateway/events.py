"""Cutting a stream of server-sent events where it may be resumed.

Failure: an upstream breaks off in the middle of an event. Were that part passed on,
the first event of the resumed stream would be joined to it.
"""

from __future__ import annotations


EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Holds back what is not yet a whole event, and knows the last event's id."""

    __slots__ = ("_rest", "events", "last_id")

    def __init__(self, last_id: str = "") -> None:
        self._rest = b""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are complete now."""
        buffered = self._rest + data
        end = buffered.rfind(EVENT_END)
        if end < 0:
            self._rest = buffered
            return b""

        end += len(EVENT_END)
        whole, self._rest = buffered[:end], buffered[end:]
        self.events += whole.count(EVENT_END)
        self._note_id(whole)
        return whole

    def drop_rest(self) -> None:
        """Forget a part of an event that will not be completed."""
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """The part of an event that is held back."""
        return self._rest

    def _note_id(self, whole: bytes) -> None:
        """Remember the last id of these events."""
        lines = whole.split(b"\n")
        for line in reversed(lines):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                return


class Pauses:
    """When the first event was passed on, and the longest time between two."""

    __slots__ = ("first_at", "last_at", "longest")

    def __init__(self) -> None:
        self.first_at: float | None = None
        self.last_at = 0.0
        self.longest = 0.0

    def note(self, now: float) -> None:
        """Note that events are passed on."""
        if self.first_at is None:
            self.first_at = now
        else:
            self.longest = max(self.longest, now - self.last_at)

        self.last_at = now
