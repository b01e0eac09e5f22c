"""The replicated log: elections, replication, membership, snapshots, lease.

Pure: the present time (monotonic seconds) and the random source are arguments,
messages and writes are queued for ``state/group.py`` to carry out.
"""

from __future__ import annotations
