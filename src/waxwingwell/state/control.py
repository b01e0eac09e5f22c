"""The tables that make up the state of the control state machine."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from .audit import AuditTable
from .catalogue import ConfigTable
from .evidence import EvidenceTable
from .pins import PinTable
from .rows import Ledger


@dataclass(slots=True)
class ControlState:
    """All replicated state of one control group."""

    config: ConfigTable = field(default_factory=ConfigTable)
    ledger: Ledger = field(default_factory=Ledger)
    pins: PinTable = field(default_factory=PinTable)
    evidence: EvidenceTable = field(default_factory=EvidenceTable)
    audit: AuditTable = field(default_factory=AuditTable)
