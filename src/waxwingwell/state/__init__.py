"""State: the replicated log, its storage, and the state machine driven by it.

May import ``decisions`` and ``records``; never ``adapters`` or a reactor.
"""

from __future__ import annotations
