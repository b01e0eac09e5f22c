"""Version choice: allowed versions, pinned sessions and the cheapest version."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from waxwingwell.decisions.accounts import get_account
from waxwingwell.decisions.eligibility import check_dispatch
from waxwingwell.decisions.evidence import count_outstanding
from waxwingwell.decisions.evidence import record_rating
from waxwingwell.decisions.evidence import record_sent
from waxwingwell.decisions.exploration import get_exploration_limit
from waxwingwell.decisions.offers import get_candidate_share
from waxwingwell.decisions.offers import get_session_position
from waxwingwell.decisions.tables import Refusal
from waxwingwell.decisions.tables import Tables
from waxwingwell.decisions.tables import Work
from waxwingwell.decisions.versions import VersionChoice
from waxwingwell.decisions.versions import choose_version
from waxwingwell.decisions.versions import should_pin
from waxwingwell.records import Evidence
from waxwingwell.records import RolloutPace
from waxwingwell.records import RolloutStatus
from waxwingwell.records import UpstreamId
from waxwingwell.records import VersionId
from waxwingwell.records import VersionStatus
from waxwingwell.records import Weighing

from .fixtures_quality import CANDIDATE
from .fixtures_quality import CHEAP
from .fixtures_quality import QUESTION
from .fixtures_quality import REPORT
from .fixtures_quality import STRONG
from .fixtures_quality import WORKSPACE
from .fixtures_quality import make_rollout
from .fixtures_quality import make_tables
from .fixtures_quality import make_work
from .fixtures_quality import rate_responses


GOOD = (0.9, 0.8, 0.85, 0.8) * 10
POOR = (0.3, 0.5, 0.4, 0.4) * 10


def choose(
    tables: Tables, work: Work, now: float = 10.0, draw: float = 0.9
) -> VersionChoice:
    found = choose_version(tables, work, now=now, draw=draw)
    assert isinstance(found, VersionChoice), found
    return found


class TestRefusals(unittest.TestCase):
    def test_codes(self) -> None:
        cases = (
            ("unknown model", {"model": "none"}, "model_not_found", 404),
            ("unknown version", {"model": "small@9"}, "model_not_found", 404),
            ("known, not allowed", {"model": "other"}, "model_not_allowed", 403),
            ("withdrawn, named", {"model": "old@1"}, "version_withdrawn", 410),
            ("ending, named", {"model": "ending@1"}, "version_withdrawn", 410),
            ("candidate, named", {"model": CANDIDATE}, "version_in_rollout", 409),
            ("pinned, withdrawn", {"pinned": "old@1"}, "version_withdrawn", 410),
            ("pinned, unknown", {"pinned": "gone@1"}, "version_withdrawn", 410),
            ("pinned, not allowed", {"pinned": "other@1"}, "model_not_allowed", 403),
            (
                "pinned, another named",
                {"pinned": CHEAP, "model": "large"},
                "session_pinned",
                409,
            ),
        )
        for name, fields, code, status in cases:
            with self.subTest(name):
                tables = make_all_statuses()
                work = make_work(session="s", **fields)
                found = choose_version(tables, work, now=1.0, draw=0.5)
                assert isinstance(found, Refusal)
                self.assertEqual((found.code, found.status), (code, status))

    def test_unknown_workspace(self) -> None:
        tables = make_tables()
        tables.workspaces.clear()
        found = choose_version(tables, make_work(), now=1.0, draw=0.5)
        assert isinstance(found, Refusal)
        self.assertEqual(found.code, "workspace_not_found")

    def test_no_active_version(self) -> None:
        tables = make_tables()
        for version in (CHEAP, STRONG):
            spec = tables.versions[version]
            tables.versions[version] = replace(spec, status=VersionStatus.ENDING)

        found = choose_version(tables, make_work(), now=1.0, draw=0.5)
        assert isinstance(found, Refusal)
        self.assertEqual(found.code, "no_version_open")

    def test_versions_without_an_upstream_are_skipped(self) -> None:
        # If all engines of the cheap version restart at once, its requests would be
        # refused for minutes although the strong version is available.
        tables = make_tables(make_rollout(stage=4))
        for held, expected in (
            ({STRONG}, {STRONG}),
            ({CHEAP}, {CHEAP}),
            ({CHEAP, STRONG}, {CHEAP, STRONG}),
            ({CHEAP, CANDIDATE}, {CHEAP, CANDIDATE}),
        ):
            with self.subTest(held=held):
                tables.holders = {name: [UpstreamId("e")] for name in held}
                chosen: set[VersionId] = set()
                for number in range(200):
                    work = make_work(session=f"s{number}")
                    choice = choose_version(tables, work, now=1.0, draw=number / 200)
                    assert isinstance(choice, VersionChoice)
                    chosen.update(choice.plan)

                self.assertLessEqual(chosen, expected)

    def test_dispatch_checks_the_version_again(self) -> None:
        tables = make_all_statuses()
        cases = (
            (CHEAP, "", None),
            ("old@1", "", "version_withdrawn"),
            ("other@1", "", "model_not_allowed"),
            ("ending@1", "", "version_withdrawn"),
            ("ending@1", "ending@1", None),
        )
        for version, pinned, code in cases:
            with self.subTest(version=version, pinned=pinned):
                work = make_work(pinned=pinned)
                found = check_dispatch(tables, work, VersionId(version))
                self.assertEqual(found.code if found else None, code)


class TestChoice(unittest.TestCase):
    def test_named_versions_are_respected(self) -> None:
        tables = make_tables()
        rate_responses(tables, CHEAP, GOOD, 1.0)
        for model, version in (("large", STRONG), (STRONG, STRONG), (CHEAP, CHEAP)):
            with self.subTest(model):
                work = make_work(model=model)
                self.assertEqual(choose(tables, work).plan, (version,))

    def test_ending_version_serves_its_sessions(self) -> None:
        tables = make_all_statuses()
        work = make_work(session="s", pinned="ending@1")
        self.assertEqual(choose(tables, work).plan, ("ending@1",))
        self.assertFalse(should_pin(work, choose(tables, work)))

    def test_cheapest_that_meets_the_target(self) -> None:
        cases = (
            ("cheap is good", GOOD, GOOD, CHEAP),
            ("cheap is poor", POOR, GOOD, STRONG),
            ("none is good", (0.2,) * 40, (0.6,) * 40, STRONG),
            ("nothing known: the best prior", (), (), STRONG),
        )
        for name, cheap, strong, version in cases:
            with self.subTest(name):
                tables = make_tables()
                tables.last_rating_at = 9.0
                rate_responses(tables, CHEAP, cheap, 9.0)
                rate_responses(tables, STRONG, strong, 9.0)
                self.assertEqual(choose(tables, make_work()).plan, (version,))

    def test_sessions_and_streams_never_cascade(self) -> None:
        tables = make_tables()
        rate_responses(tables, CHEAP, (0.5, 1.0, 0.9, 0.4) * 20, 9.0, REPORT)
        rate_responses(tables, STRONG, (0.9, 0.95) * 20, 9.0, REPORT)
        self.assertEqual(choose(tables, make_work(REPORT)).plan, (CHEAP, STRONG))
        for fields in ({"session": "s"}, {"stream": True}):
            with self.subTest(fields):
                work = make_work(REPORT, **fields)
                self.assertEqual(choose(tables, work).plan, (STRONG,))

        work = make_work(QUESTION)
        self.assertEqual(len(choose(tables, work).plan), 1)

    def test_expensive_ratings_prevent_a_cascade(self) -> None:
        tables = make_tables()
        rate_responses(tables, CHEAP, (0.5, 1.0, 0.9, 0.4) * 20, 9.0, REPORT)
        rate_responses(tables, STRONG, (0.9, 0.95) * 20, 9.0, REPORT)
        tables.rating_price = 150.0
        self.assertEqual(choose(tables, make_work(REPORT)).plan, (STRONG,))

    def test_conservative_choice_without_ratings(self) -> None:
        """The rating service is down for minutes while requests continue.

        A fall in quality would go undetected, so choices must rely on known versions,
        explore nothing and give the reason.
        """
        tables = make_tables(make_rollout(stage=4))
        rate_responses(tables, CHEAP, GOOD, 1.0)
        for draw in (0.0, 0.3, 0.99):
            found = choose(tables, make_work(session="s"), now=500.0, draw=draw)
            self.assertEqual(found.plan, (CHEAP,))
            self.assertIn("ratings have stopped", found.reason)

        rate_responses(tables, CHEAP, (0.8,), 501.0)
        found = choose(tables, make_work(session="s"), now=502.0)
        self.assertEqual(found.plan, (CANDIDATE,))

    def test_regression_of_a_known_version(self) -> None:
        """The responses of a version with hundreds of good ratings become poor.

        Its lifetime mean would stay above the target for hundreds of further requests.
        """
        tables = make_tables()
        rate_responses(tables, STRONG, GOOD, 1.0)
        rate_responses(tables, CHEAP, GOOD * 20, 1.0)
        self.assertEqual(choose(tables, make_work()).plan, (CHEAP,))
        rate_responses(tables, CHEAP, POOR[:20], 2.0)
        self.assertEqual(choose(tables, make_work()).plan, (STRONG,))


class TestCandidate(unittest.TestCase):
    def test_ratings_after_a_withdrawal(self) -> None:
        """Late good ratings must not revive a withdrawn candidate.

        It is rolled back and withdrawn while ratings of its responses are in transit;
        they arrive, all good, after the withdrawal.
        """
        rollout = replace(make_rollout(stage=4), status=RolloutStatus.ROLLED_BACK)
        tables = make_tables(rollout)
        spec = tables.versions[CANDIDATE]
        tables.versions[CANDIDATE] = replace(spec, status=VersionStatus.WITHDRAWN)
        rate_responses(tables, CHEAP, POOR, 1.0)
        rate_responses(tables, CANDIDATE, (1.0,) * 50, 2.0)
        for number in range(50):
            work = make_work(REPORT, request=str(number))
            self.assertNotIn(CANDIDATE, choose(tables, work, draw=number / 50).plan)

    def test_share_of_new_sessions(self) -> None:
        for stage, least, most in ((0, 2, 30), (2, 150, 260), (4, 1000, 1000)):
            with self.subTest(stage=stage):
                tables = make_tables(make_rollout(stage=stage))
                rate_responses(tables, CHEAP, GOOD, 1.0)
                plans = [
                    choose(tables, make_work(session=f"s{number}")).plan
                    for number in range(1000)
                ]
                self.assertTrue(least <= plans.count((CANDIDATE,)) <= most)

    def test_paused_or_rolled_back_candidate_gets_no_sessions(self) -> None:
        paused = replace(make_rollout(stage=4), status=RolloutStatus.PAUSED)
        rolled_back = replace(paused, status=RolloutStatus.ROLLED_BACK)
        for name, rollout in (("paused", paused), ("rolled back", rolled_back)):
            with self.subTest(name):
                tables = make_tables(rollout)
                rate_responses(tables, CHEAP, GOOD, 1.0)
                self.assertEqual(choose(tables, make_work()).plan, (CHEAP,))

    def test_sessions_of_a_rolled_back_candidate_are_refused(self) -> None:
        rollout = replace(make_rollout(stage=1), status=RolloutStatus.ROLLED_BACK)
        work = make_work(session="s", pinned=CANDIDATE)
        found = choose_version(make_tables(rollout), work, now=1.0, draw=0.5)
        assert isinstance(found, Refusal)
        self.assertEqual(found.code, "version_withdrawn")

    def test_exposure_weight_reduces_the_share(self) -> None:
        tables = make_tables()
        config = tables.workspaces[WORKSPACE]
        careful = replace(config, weighing=Weighing(exposure=4.0))
        rollout = make_rollout(stage=2)
        self.assertAlmostEqual(get_candidate_share(rollout, config), 0.2)
        self.assertLess(get_candidate_share(rollout, careful), 0.2)
        self.assertEqual(get_candidate_share(make_rollout(stage=4), careful), 1.0)

    def test_cap_on_unrated_responses(self) -> None:
        pace = RolloutPace(max_unrated=8)
        tables = make_tables(make_rollout(4, pace))
        tables.entries = 2
        rate_responses(tables, CHEAP, GOOD, 1.0)
        for number in range(4):
            work = make_work(session=f"s{number}")
            self.assertEqual(choose(tables, work).plan, (CANDIDATE,))
            record_sent(tables, work, CANDIDATE, rate=True, now=10.0)

        self.assertEqual(choose(tables, make_work(session="s9")).plan, (CHEAP,))
        record_rating(tables, WORKSPACE, QUESTION, CANDIDATE, 0.9, 11.0)
        self.assertEqual(choose(tables, make_work(session="s9")).plan, (CANDIDATE,))


STATUSES = st.sampled_from(list(VersionStatus))


class TestInvariants(unittest.TestCase):
    @settings(max_examples=150)
    @given(
        st.lists(STATUSES, min_size=5, max_size=5),
        st.sets(st.integers(0, 4)),
        st.lists(st.tuples(st.integers(0, 60), st.floats(0, 1)), max_size=5),
        st.sampled_from(["", "a", "a@0", "b@4", "z"]),
        st.sampled_from(["", "a@0", "b@3", "b@4"]),
        st.sampled_from(list(RolloutStatus)),
        st.integers(-1, 9),
        st.floats(0, 1, exclude_max=True),
        st.sampled_from([0.0, 5.0, 1000.0]),
    )
    def test_only_allowed_and_never_withdrawn(
        self,
        statuses: list[VersionStatus],
        allowed: set[int],
        ratings: list[tuple[int, float]],
        model: str,
        pinned: str,
        status: RolloutStatus,
        stage: int,
        draw: float,
        now: float,
    ) -> None:
        tables = make_random_tables(statuses, allowed, ratings)
        rollout = replace(make_rollout(stage), model="a", status=status)
        tables.rollouts["a"] = replace(
            rollout, candidate=VersionId("a@1"), incumbent=VersionId("a@0")
        )
        kind = REPORT if stage % 2 else QUESTION
        work = make_work(kind, model=model, pinned=pinned, session=pinned)
        found = choose_version(tables, work, now=now, draw=draw)
        if isinstance(found, Refusal):
            self.assertGreaterEqual(found.status, 400)
            return

        if pinned:
            self.assertEqual(found.plan, (pinned,))

        self.assertEqual(len(set(found.plan)), len(found.plan))
        config = tables.workspaces[WORKSPACE]
        for version in found.plan:
            spec = tables.versions[version]
            self.assertIn(version, config.allowed)
            self.assertIsNot(spec.status, VersionStatus.WITHDRAWN)
            self.assertIn(model, ("", spec.model, version))
            if spec.status is VersionStatus.ENDING:
                self.assertEqual(pinned, version)
            if spec.status is VersionStatus.CANDIDATE and not pinned:
                share = get_candidate_share(tables.rollouts["a"], config)
                ended = status is RolloutStatus.COMPLETED and version == "a@1"
                place = get_session_position(tables.rollouts["a"], work)
                self.assertTrue(ended or place < share)

    @settings(max_examples=25)
    @given(st.integers(0, 1 << 32), st.floats(0, 1), st.integers(1, 4))
    def test_budget_and_cap_hold_over_any_run(
        self, seed: int, mean: float, entries: int
    ) -> None:
        rng = random.Random(seed)
        tables = make_tables(make_rollout(stage=3))
        tables.entries = entries
        tables.last_rating_at = 1.0
        waiting: list[tuple[VersionId, float]] = []
        cap = max(1, 20 // entries)
        for number in range(300):
            now = 1.0 + number * 0.1
            work = make_work(request=str(number))
            found = choose(tables, work, now=now, draw=rng.random())
            version = found.plan[0]
            record_sent(
                tables,
                work,
                version,
                rate=found.rate,
                now=now,
                explored=found.explored,
            )
            if found.rate:
                waiting.append((version, now))

            self.assertLessEqual(count_outstanding(tables, CANDIDATE, now), cap)
            account = get_account(tables, WORKSPACE, "question")
            config = tables.workspaces[WORKSPACE]
            limit = get_exploration_limit(config, account, entries)
            self.assertLessEqual(account.explored, limit)
            if waiting and rng.random() < 0.7:
                rated, _ = waiting.pop(rng.randrange(len(waiting)))
                rating = min(1.0, max(0.0, rng.gauss(mean, 0.2)))
                record_rating(tables, WORKSPACE, QUESTION, rated, rating, now)


def make_all_statuses() -> Tables:
    """Return tables that also hold an ending, a withdrawn and a disallowed version."""
    tables = make_tables()
    cheap = tables.versions[CHEAP]
    extra = (
        ("old", VersionStatus.WITHDRAWN),
        ("ending", VersionStatus.ENDING),
        ("other", VersionStatus.ACTIVE),
    )
    for model, status in extra:
        version = VersionId(f"{model}@1")
        tables.versions[version] = replace(
            cheap, version=version, model=model, status=status
        )

    config = tables.workspaces[WORKSPACE]
    allowed = (*config.allowed, VersionId("old@1"), VersionId("ending@1"))
    tables.workspaces[WORKSPACE] = replace(config, allowed=allowed)
    return tables


def make_random_tables(
    statuses: list[VersionStatus],
    allowed: set[int],
    ratings: list[tuple[int, float]],
) -> Tables:
    """Return tables of five versions with these statuses, allowed set and ratings."""
    tables = make_tables()
    cheap = tables.versions[CHEAP]
    tables.versions.clear()
    names = [VersionId(f"{'a' if place < 3 else 'b'}@{place}") for place in range(5)]
    for place, (name, status) in enumerate(zip(names, statuses, strict=True)):
        tables.versions[name] = replace(
            cheap, version=name, model=name[0], status=status, price_in=float(place)
        )

    config = tables.workspaces[WORKSPACE]
    chosen = tuple(names[place] for place in sorted(allowed))
    tables.workspaces[WORKSPACE] = replace(config, allowed=chosen)
    for name, (count, rating) in zip(names, ratings, strict=False):
        rate_responses(tables, name, (rating,) * count, 1.0)
        unlisted = Evidence(name, WORKSPACE, "unlisted", count, count * rating)
        tables.evidence[WORKSPACE, "unlisted", name] = unlisted

    return tables
