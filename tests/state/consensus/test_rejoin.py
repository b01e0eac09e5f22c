"""Members that were removed, and join the group again."""

from __future__ import annotations

import unittest

from waxwingwell.state.group import members_of

from .fakes import Cluster
from .fakes import await_leader
from .fakes import crash
from .fakes import group_of
from .fakes import lose_disk
from .fakes import make_cluster
from .fakes import run_for
from .fakes import run_until
from .fakes import start_node
from .test_exchange import OPEN_TIMING
from .test_exchange import SEEDS
from .test_exchange import add_spare
from .test_exchange import find_membership
from .test_exchange import list_voters


def replace_voter(cluster: Cluster, former: str, spare: str) -> None:
    """Crash a voter for good once a spare waits, until that has taken its place."""
    add_spare(cluster, spare)
    cluster.contacts[spare] = tuple(cluster.nodes)
    crash(cluster, former)
    run_until(cluster, lambda: spare in list_voters(cluster))


def start_with_settings(cluster: Cluster, name: str, others: tuple[str, ...]) -> None:
    """Start a member whose settings name only some others, and not to found a group."""
    names, cluster.names = cluster.names, (name, *others)
    cluster.bootstrap = False
    start_node(cluster, name)
    cluster.names = names


class RejoinTest(unittest.TestCase):
    """Members that the group replaced while they did not respond."""

    def test_a_removed_member_joins_though_its_settings_do_not_name_the_leader(
        self,
    ) -> None:
        """A voter is replaced while it stands still, and erased as it wakes.

        It is linked to all, but its settings name no leader. If it asked only those
        that they name, the group would have no spare member for the next loss.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=OPEN_TIMING)
                leader = await_leader(cluster)
                removed, settled, *_ = [one for one in cluster.names if one != leader]
                replace_voter(cluster, removed, "control-6")
                lose_disk(cluster, removed)
                cluster.contacts[removed] = tuple(cluster.nodes)
                start_with_settings(cluster, removed, (settled,))

                def waits(cluster: Cluster = cluster, name: str = removed) -> bool:
                    member = group_of(cluster, name).replica.member
                    return member in find_membership(cluster).learners

                run_until(cluster, waits)

    def test_a_stale_voter_hears_of_its_removal_from_members_it_does_not_know(
        self,
    ) -> None:
        """A VM is down while all members that its disk names are replaced.

        It requests only their votes. Unless it asks others, nobody notifies it of its
        removal, and it never joins again.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=OPEN_TIMING)
                await_leader(cluster)
                stale, *others = cluster.names
                replace_voter(cluster, stale, "control-6")
                for number, former in enumerate(others, start=7):
                    replace_voter(cluster, former, f"control-{number}")

                cluster.contacts[stale] = ("control-7",)
                start_with_settings(cluster, stale, tuple(others))

                def is_expelled(cluster: Cluster = cluster, name: str = stale) -> bool:
                    return group_of(cluster, name).replica.expelled

                run_until(cluster, is_expelled)

    def test_a_voter_that_is_still_one_is_not_disturbed(self) -> None:
        """A voter that hears no leader for a while asks others, and stays a voter."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=OPEN_TIMING)
                leader = await_leader(cluster)
                add_spare(cluster, "control-6")
                run_for(cluster, 1.0)
                before = members_of(group_of(cluster, leader))
                cluster.contacts = {one: tuple(cluster.nodes) for one in cluster.nodes}
                lonely = next(one for one in cluster.names if one != leader)
                cluster.nodes[lonely].frozen = True
                run_for(cluster, 1.2)
                cluster.nodes[lonely].frozen = False
                run_for(cluster, 2.0)
                self.assertEqual(find_membership(cluster), before)
