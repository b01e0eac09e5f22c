"""What a gateway does a few times a second."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.gateway.daemon import run_tick

from .support import make_gateway
from .support import make_stream_head


def raise_error(now: float) -> None:
    """Fail."""
    raise RuntimeError


class TickTest(unittest.TestCase):
    """Duties that don't depend on each other."""

    def test_a_fault_with_one_request_is_none_of_the_others(self) -> None:
        """Upstreams went dark, and the look at one of their streams fails.

        The streams after it were not looked at any more: their callers waited beside
        upstreams that could have gone on with them.
        """
        names = ("q1", "q2", "q3", "q4")
        for broken in names:
            with self.subTest(broken=broken):
                gateway = make_gateway()
                for name in names:
                    gateway.ask(X_Id=name)
                    upstream = gateway.upstreams[-1]
                    upstream.accept()
                    upstream.answer(make_stream_head().replace(b"q1", name.encode()))

                for exchange in gateway.context.exchanges:
                    if exchange.facts.request_id == broken:
                        exchange.check_responsiveness = raise_error

                gateway.reactor.advance(3.0)
                run_tick(gateway.context)
                moved = len(gateway.upstreams) - len(names)
                self.assertEqual(moved, len(names) - 1)
