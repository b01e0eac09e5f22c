"""All commands over the administration API, by name."""

from __future__ import annotations

from .answers import ANSWERS
from .evacuations import EVACUATION
from .members import MEMBERS
from .quarantine import QUARANTINE_COMMANDS
from .rollout import ROLLOUT
from .rollout import register
from .views import audit
from .views import bills
from .views import sessions
from .views import status
from .views import upstreams
from .views import versions


COMMANDS: dict[str, object] = {
    "answers": ANSWERS,
    "audit": audit,
    "bills": bills,
    "evacuation": EVACUATION,
    "members": MEMBERS,
    "quarantine": QUARANTINE_COMMANDS,
    "register": register,
    "rollout": ROLLOUT,
    "sessions": sessions,
    "status": status,
    "upstreams": upstreams,
    "versions": versions,
}
