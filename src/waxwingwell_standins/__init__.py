"""Stand-ins for external systems, used by tests, the demo and the benchmarks.

Only the embedded role of the product imports this package.
"""

from __future__ import annotations
