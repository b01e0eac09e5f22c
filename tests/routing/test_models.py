"""When a larger model is asked after an unsure answer."""

from __future__ import annotations

import unittest
from typing import Any

from waxwingwell.routing.models import Stake
from waxwingwell.routing.models import estimate_poor_probability
from waxwingwell.routing.models import find_price
from waxwingwell.routing.models import wants_larger
from waxwingwell.routing.models import weigh_size


def make_inputs(**fields: Any) -> Stake:
    """Return the stake of a usual request on idle engines."""
    known: dict[str, Any] = {
        "output_tokens": 1_000,
        "prompt_tokens": 6_000,
        "uncached": 3_000,
        "weight": 1.0,
        "cost": 0.25,
        "pressure": 0.1,
        "usage": 0.2,
    }
    return Stake(**{**known, **fields})


class ModelTest(unittest.TestCase):
    """Gain against price."""

    def test_an_unsure_answer_is_asked_of_a_larger_model(self) -> None:
        for name, confidence, fields, expected in (
            ("unsure", 0.5, {}, True),
            ("sure", 0.75, {}, False),
            ("rather sure, and cheap", 0.6, {"prompt_tokens": 400}, True),
            ("rather sure, and dear", 0.6, {"output_tokens": 84}, False),
            ("very unsure, and dear", 0.3, {"output_tokens": 84}, True),
            ("dear beyond any answer", 0.0, {"output_tokens": 20}, False),
            ("nothing is known of it", 0.3, {"output_tokens": 0, "cost": 0.0}, True),
            ("free, and sure", 0.8, {"cost": 0.0}, False),
        ):
            with self.subTest(name):
                found = wants_larger(confidence, make_inputs(**fields))
                self.assertIs(found, expected)

    def test_fewer_are_asked_as_engines_fill_up(self) -> None:
        """A burst on engines that are near their limit.

        Each prompt that the larger model reads holds up all streams on its engine.
        Callers are better served by more unsure answers then.
        """
        for name, confidence, fields, expected in (
            ("easy", 0.5, {"usage": 0.5}, True),
            ("busy", 0.5, {"usage": 0.95}, True),
            ("busy, a long prompt for a short answer", 0.3, SHORT_RESPONSE, False),
            ("full, unsure", 0.5, {"usage": 1.3}, False),
            ("full, poor", 0.1, {"usage": 1.3}, True),
            ("beyond", 0.0, {"usage": 2.0}, False),
        ):
            with self.subTest(name):
                found = wants_larger(confidence, make_inputs(**fields))
                self.assertIs(found, expected)

    def test_a_late_answer_is_worth_less_than_an_unsure_one_now(self) -> None:
        for name, confidence, pressure, expected in (
            ("in time", 0.5, 0.7, True),
            ("perhaps late, unsure", 0.5, 1.1, False),
            ("perhaps late, poor", 0.1, 1.1, True),
            ("late, unsure", 0.45, 1.5, False),
            ("late, poor", 0.1, 1.5, True),
        ):
            with self.subTest(name):
                found = wants_larger(confidence, make_inputs(pressure=pressure))
                self.assertIs(found, expected)

    def test_a_large_request_gets_as_good_a_model_as_a_small_one(self) -> None:
        """The longest prompts got the smallest model's poor answers.

        Their own reading counted as pressure, which lowered their bar to nothing. Yet
        their answers are worth several usual ones.
        """
        typical_sizes: dict[str, float] = {}
        for _ in range(200):
            weigh_size(typical_sizes, "r1", 6_000, 1_000)

        weight = weigh_size(typical_sizes, "r1", 40_000, 1_000)
        self.assertGreater(weight, 2.0)
        large = make_inputs(
            prompt_tokens=40_000, uncached=35_000, weight=weight, pressure=0.6
        )
        self.assertTrue(wants_larger(0.45, large))
        self.assertLess(find_price(large), 3.0 * find_price(make_inputs()))

    def test_doubt_falls_with_confidence(self) -> None:
        probabilities = [estimate_poor_probability(place / 10) for place in range(11)]
        self.assertEqual(probabilities, sorted(probabilities, reverse=True))
        self.assertAlmostEqual(estimate_poor_probability(0.5), 0.5)


SHORT_RESPONSE = {"usage": 0.95, "output_tokens": 84, "prompt_tokens": 2_400}


if __name__ == "__main__":
    unittest.main()
