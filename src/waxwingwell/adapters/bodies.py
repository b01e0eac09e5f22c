"""Every message that may travel over a link, as one union."""

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
from ..state.consensus.messages import AppendAnswer
from ..state.consensus.messages import AppendEntries
from ..state.consensus.messages import Expelled
from ..state.consensus.messages import InstallSnapshot
from ..state.consensus.messages import JoinRequest
from ..state.consensus.messages import Probe
from ..state.consensus.messages import ProbeAnswer
from ..state.consensus.messages import RequestVote
from ..state.consensus.messages import SnapshotAnswer
from ..state.consensus.messages import TimeoutNow
from ..state.consensus.messages import VoteAnswer


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
    | AppendAnswer
    | AppendEntries
    | Expelled
    | InstallSnapshot
    | JoinRequest
    | Probe
    | ProbeAnswer
    | RequestVote
    | SnapshotAnswer
    | TimeoutNow
    | VoteAnswer
)
