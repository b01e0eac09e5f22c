"""Union of all messages that may be sent over a link."""

from __future__ import annotations

from ..messages import AskInForce
from ..messages import AskUpstreams
from ..messages import Drain
from ..messages import Draining
from ..messages import Failed
from ..messages import InForce
from ..messages import KnownUpstreams
from ..messages import LeaseBehind
from ..messages import LeaseGranted
from ..messages import NotLeader
from ..messages import OrderPassed
from ..messages import OrderVersions
from ..messages import Outcome
from ..messages import RenewLease
from ..messages import SpreadAnnouncements
from ..messages import SpreadDemand
from ..messages import Submit
from ..state.consensus.messages import ConsensusBody


Body = (
    Outcome
    | Submit
    | RenewLease
    | LeaseGranted
    | LeaseBehind
    | NotLeader
    | AskInForce
    | InForce
    | Failed
    | SpreadAnnouncements
    | SpreadDemand
    | OrderPassed
    | OrderVersions
    | KnownUpstreams
    | Draining
    | Drain
    | AskUpstreams
    | ConsensusBody
)
