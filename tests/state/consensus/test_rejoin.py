"""Members that were removed, and join the group again."""

from __future__ import annotations

import unittest

from .fakes import Cluster
from .fakes import await_leader
from .fakes import crash
from .fakes import group_of
from .fakes import lose_disk
from .fakes import make_cluster
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
