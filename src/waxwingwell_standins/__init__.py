"""Stand-ins for outside systems, used by tests, the demo and the bench.

The product never imports this package, the embedded role aside.
"""

from __future__ import annotations
