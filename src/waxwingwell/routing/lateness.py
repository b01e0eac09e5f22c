"""How late the messages between gateways and controls are.

The clocks of two processes differ, so lateness is measured by round trips on one clock:
a peer returns the time at which a message was sent, and for how long it has held it. A
message is no later than the whole round trip.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .messages import GatewayReport


if TYPE_CHECKING:
    from .messages import FleetReport


USUAL_SECONDS = 0.05
"""Round trip that does not count as late."""
OVERDUE_SECONDS = 0.5
"""Seconds without totals from which on they are late; they come twice in that time."""
MAX_SENT_REPORTS = 40
"""Reports that are kept until totals include them: those of ten seconds."""


@dataclass(slots=True)
class LatenessTable:
    """What a gateway knows of its reports and totals on their way."""

    sent: deque[GatewayReport] = field(
        default_factory=lambda: deque(maxlen=MAX_SENT_REPORTS)
    )
    """Reports sent, oldest first."""
    round_trip: float = 0.0
    """Seconds of the last round trip that was late, 0 if it was not."""
    received_at: float = math.inf
    """Time at which the last totals were received; infinite before the first."""


def measure_lateness(sent_at: float, held: float, now: float) -> float:
    """Return the seconds by which a message may be late, 0 for a usual round trip.

    ``sent_at`` is the time of the message that its sender returns with this one, and
    ``held`` the seconds for which the sender has held it.
    """
    round_trip = max(now - sent_at - held, 0.0)
    return round_trip if round_trip > USUAL_SECONDS else 0.0


def find_included(table: LatenessTable, body: FleetReport) -> GatewayReport | None:
    """Return this gateway's report that totals include, or None if it is not known."""
    if not body.included:
        return None

    return next(
        (one for one in table.sent if one.reported_at == body.included.reported_at),
        None,
    )


def record_totals(table: LatenessTable, body: FleetReport, now: float) -> float:
    """Record that totals were received; return the seconds by which they may be late.

    This is the lateness of the latest part in them, and that of their own way.
    """
    table.received_at = now
    if body.included:
        table.round_trip = measure_lateness(
            body.included.reported_at, body.included.held, now
        )

    return (body.late or 0.0) + table.round_trip


def estimate_lateness(table: LatenessTable, now: float) -> float:
    """Return the seconds by which a report that is sent now may arrive late."""
    overdue = max(now - table.received_at - OVERDUE_SECONDS, 0.0)
    return table.round_trip + overdue
