"""Tests of the escalation to a larger model after a response of low confidence."""

from __future__ import annotations

import unittest
from typing import Any

from waxwingwell.routing.models import EscalationInputs
from waxwingwell.routing.models import estimate_poor_probability
from waxwingwell.routing.models import estimate_price
from waxwingwell.routing.models import should_escalate
from waxwingwell.routing.models import update_request_weight


def make_inputs(**fields: Any) -> EscalationInputs:
    """Return the inputs of the decision for a typical request on idle engines."""
    known: dict[str, Any] = {
        "output_tokens": 1_000,
        "prompt_tokens": 6_000,
        "uncached": 3_000,
        "weight": 1.0,
        "cost": 0.25,
        "pressure": 0.1,
        "usage": 0.2,
    }
    return EscalationInputs(**{**known, **fields})


class ModelTest(unittest.TestCase):
    """Comparison of gain and price."""

    def test_escalation_at_low_confidence(self) -> None:
        for name, confidence, fields, expected in (
            ("low confidence", 0.5, {}, True),
            ("high confidence", 0.75, {}, False),
            ("medium confidence, cheap", 0.6, {"prompt_tokens": 400}, True),
            ("medium confidence, expensive", 0.6, {"output_tokens": 84}, False),
            ("very low confidence, expensive", 0.3, {"output_tokens": 84}, True),
            ("price above any gain", 0.0, {"output_tokens": 20}, False),
            ("unknown size and cost", 0.3, {"output_tokens": 0, "cost": 0.0}, True),
            ("high confidence, free", 0.8, {"cost": 0.0}, False),
        ):
            with self.subTest(name):
                found = should_escalate(confidence, make_inputs(**fields))
                self.assertIs(found, expected)

    def test_fewer_escalations_at_high_usage(self) -> None:
        """Guards against escalations during a burst on engines near their capacity.

        Each prefill of the larger model stalls all streams on its engine, so callers
        are better served by more responses of low confidence.
        """
        for name, confidence, fields, expected in (
            ("low usage", 0.5, {"usage": 0.5}, True),
            ("high usage", 0.5, {"usage": 0.95}, True),
            ("high usage, long prompt, short response", 0.3, SHORT_RESPONSE, False),
            ("over capacity, low confidence", 0.5, {"usage": 1.3}, False),
            ("over capacity, very low confidence", 0.1, {"usage": 1.3}, True),
            ("far over capacity", 0.0, {"usage": 2.0}, False),
        ):
            with self.subTest(name):
                found = should_escalate(confidence, make_inputs(**fields))
                self.assertIs(found, expected)

    def test_a_late_response_has_less_value_than_an_unsure_one_in_time(self) -> None:
        for name, confidence, pressure, expected in (
            ("in time", 0.5, 0.7, True),
            ("perhaps late, low confidence", 0.5, 1.1, False),
            ("perhaps late, very low confidence", 0.1, 1.1, True),
            ("late, low confidence", 0.45, 1.5, False),
            ("late, very low confidence", 0.1, 1.5, True),
        ):
            with self.subTest(name):
                found = should_escalate(confidence, make_inputs(pressure=pressure))
                self.assertIs(found, expected)

    def test_a_large_request_gets_as_good_a_model_as_a_small_one(self) -> None:
        """Guards against long prompts that always get the smallest model's response.

        Their own prefill counts as pressure, which would lower a threshold to zero,
        although their responses have the value of several typical ones.
        """
        typical_sizes: dict[str, float] = {}
        for _ in range(200):
            update_request_weight(typical_sizes, "r1", 6_000, 1_000)

        weight = update_request_weight(typical_sizes, "r1", 40_000, 1_000)
        self.assertGreater(weight, 2.0)
        large = make_inputs(
            prompt_tokens=40_000, uncached=35_000, weight=weight, pressure=0.6
        )
        self.assertTrue(should_escalate(0.45, large))
        self.assertLess(estimate_price(large), 3.0 * estimate_price(make_inputs()))

    def test_poor_probability_falls_with_confidence(self) -> None:
        probabilities = [estimate_poor_probability(place / 10) for place in range(11)]
        self.assertEqual(probabilities, sorted(probabilities, reverse=True))
        self.assertAlmostEqual(estimate_poor_probability(0.5), 0.5)


SHORT_RESPONSE = {"usage": 0.95, "output_tokens": 84, "prompt_tokens": 2_400}


if __name__ == "__main__":
    unittest.main()
