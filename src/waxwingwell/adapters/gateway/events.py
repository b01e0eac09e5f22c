"""Splitting of a stream of server-sent events where it may be resumed.

An upstream may disconnect in the middle of an event. If the partial event were
forwarded, the first event of the resumed stream would be joined to it.
"""

from __future__ import annotations


EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Buffers an incomplete event, and tracks the id of the last complete one."""

    __slots__ = ("events", "last_id", "partial_event")

    def __init__(self, last_id: str = "") -> None:
        self.partial_event = bytearray()
        """Buffered bytes of an incomplete event."""
        self.last_id = last_id
        self.events = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes, and return the events that are complete now."""
        if not self.partial_event and data.endswith(EVENT_END):
            complete_events = data
        else:
            complete_events = self._take_complete(data)
            if not complete_events:
                return b""

        self.events += complete_events.count(EVENT_END)
        self._record_last_id(complete_events)
        return complete_events

    def _take_complete(self, data: bytes) -> bytes:
        """Add received bytes, and remove and return the complete events.

        Bytes that were searched before are not searched or copied again, so that the
        work is linear in the length of an event that arrives in many pieces.
        """
        searched = max(len(self.partial_event) - len(EVENT_END) + 1, 0)
        self.partial_event += data
        end = self.partial_event.rfind(EVENT_END, searched)
        if end < 0:
            return b""

        end += len(EVENT_END)
        complete_events = bytes(self.partial_event[:end])
        del self.partial_event[:end]
        return complete_events

    def discard_partial_event(self) -> None:
        """Discard a partial event that will not be completed."""
        self.partial_event.clear()

    def _record_last_id(self, complete_events: bytes) -> None:
        """Record the last id among these events."""
        start = complete_events.rfind(b"\n" + ID_FIELD) + 1
        if not start and not complete_events.startswith(ID_FIELD):
            return

        end = complete_events.index(b"\n", start)
        value = complete_events[start + len(ID_FIELD) : end]
        self.last_id = value.strip().decode("latin-1")


class EventPauses:
    """Time of the first forwarded event, and the longest gap between two events."""

    __slots__ = ("first_event_at", "last_event_at", "longest")

    def __init__(self) -> None:
        self.first_event_at: float | None = None
        self.last_event_at = 0.0
        self.longest = 0.0

    def record(self, now: float) -> None:
        """Record that events are forwarded now."""
        if self.first_event_at is None:
            self.first_event_at = now
        elif now - self.last_event_at > self.longest:
            self.longest = now - self.last_event_at

        self.last_event_at = now
