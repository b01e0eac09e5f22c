"""Raft: leader election, log replication, membership, snapshots, leader lease.

Does no I/O: the current time (monotonic seconds) and the random source are
arguments; messages and writes are queued, and ``state/group.py`` performs them.
"""

from __future__ import annotations
