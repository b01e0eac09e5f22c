"""Randomised runs of real members: faults of all kinds, then recovery.

``test_randomised.py`` uses this state machine with fixed seeds, ``soak.py`` with
new seeds for longer times.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from tests.state.consensus.fakes import FAST_TIMING
from tests.state.consensus.fakes import STEP_SECONDS
from tests.state.consensus.fakes import Cluster
from tests.state.consensus.fakes import Node
from tests.state.consensus.fakes import await_voters
from tests.state.consensus.fakes import clock
from tests.state.consensus.fakes import commands
from tests.state.consensus.fakes import crash
from tests.state.consensus.fakes import group_of
from tests.state.consensus.fakes import heal
from tests.state.consensus.fakes import lease_holders
from tests.state.consensus.fakes import lose_disk
from tests.state.consensus.fakes import make_cluster
from tests.state.consensus.fakes import partition
from tests.state.consensus.fakes import propose_command
from tests.state.consensus.fakes import run_for
from tests.state.consensus.fakes import run_until
from tests.state.consensus.fakes import start_node
from tests.state.consensus.fakes import step
from tests.state.consensus.properties import RunHistory
from tests.state.consensus.properties import check_logs
from tests.state.consensus.properties import watch_message
from tests.state.consensus.properties import watch_node
from waxwingwell.state.consensus.records import Role
from waxwingwell.state.group import Committed
from waxwingwell.state.group import transfer_leadership


if TYPE_CHECKING:
    from waxwingwell.state.consensus.records import Membership
    from waxwingwell.state.consensus.records import Timing
    from waxwingwell.state.group import ProposalOutcome


DURATIONS = st.sampled_from((STEP_SECONDS, 0.1, 0.3, 0.5, 1.0, 2.0))
DRIFT = 0.04
"""Maximum rate error of a member's clock; the margin in ``Timing`` is 0.1."""


class ConsensusRun(RuleBasedStateMachine):
    """Members that fail in any order; safety properties always hold."""

    size: ClassVar[int] = 3
    timing: ClassVar[Timing] = FAST_TIMING
    steps: ClassVar[int] = 0

    def __init__(self) -> None:
        """Defer making the cluster to ``start_cluster``, when the seed is drawn."""
        super().__init__()
        self.history = RunHistory()
        self.cluster: Cluster | None = None
        self.proposed: dict[bytes, list[ProposalOutcome]] = {}

    @initialize(seed=st.integers(0, 2**32))
    def start_cluster(self, seed: int) -> None:
        """Bootstrap a group, then restart it with clocks of other rates and offsets."""
        cluster = make_cluster(self.size, seed=seed, timing=self.timing)
        self.cluster = cluster
        cluster.watch = lambda one, node: watch_node(self.history, one, node)
        cluster.watch_message = lambda one, message: watch_message(
            self.history, one, message
        )
        await_voters(cluster)
        cluster.watch = None
        for node in cluster.nodes.values():
            crash(cluster, node.name)
            node.clock_rate = 1 + cluster.random.uniform(-DRIFT, DRIFT)
            node.clock_offset = cluster.random.uniform(0, 1000)
            start_node(cluster, node.name)

        cluster.watch = lambda one, node: watch_node(self.history, one, node)

    def nodes(self) -> list[Node]:
        """Return all members in name order."""
        return list(self.live_cluster().nodes.values())

    def live_cluster(self) -> Cluster:
        """Return the cluster, which must have been started."""
        assert self.cluster is not None
        return self.cluster

    def pick_node(self, number: int) -> Node:
        """Return a lease holder, if any, for an even number, else the member drawn."""
        holders = lease_holders(self.live_cluster())
        if holders and number % 2 == 0:
            return self.live_cluster().nodes[holders[0]]

        return self.nodes()[number // 2 % self.size]

    def check_run(self) -> None:
        """Count a step and check log matching, which is too costly for each event."""
        type(self).steps += 1
        ConsensusRun.steps += 1
        check_logs(self.history, self.live_cluster())

    @rule(seconds=DURATIONS)
    def pass_time(self, seconds: float) -> None:
        """Run the members for a while."""
        run_for(self.live_cluster(), seconds)
        self.check_run()

    def propose_commands(self, count: int) -> None:
        """Propose commands at each member in the leader role and at a random one."""
        chosen = {node.name for node in self.nodes() if has_leader_role(node)}
        chosen.add(self.live_cluster().random.choice(self.live_cluster().names))
        for name in sorted(chosen):
            node = self.live_cluster().nodes[name]
            if node.group is None or node.frozen:
                continue

            for _ in range(count):
                command = b"%d" % len(self.proposed)
                self.proposed[command] = propose_command(
                    self.live_cluster(), name, command
                )

    @rule(count=st.integers(1, 40), seconds=DURATIONS)
    def write_and_run(self, count: int, seconds: float) -> None:
        """Propose commands and run the members."""
        self.propose_commands(count)
        run_for(self.live_cluster(), seconds)
        self.check_run()

    @rule(rounds=st.integers(2, 8))
    def partition_and_write(self, rounds: int) -> None:
        """Make logs diverge: new partitions each round, with writes to each leader."""
        live_cluster = self.live_cluster()
        for _ in range(rounds):
            one = tuple(
                name
                for name in live_cluster.names
                if live_cluster.random.random() < 0.5
            )
            partition(
                live_cluster, one, tuple(n for n in live_cluster.names if n not in one)
            )
            self.propose_commands(live_cluster.random.randint(1, 12))
            run_for(
                live_cluster, live_cluster.random.choice((STEP_SECONDS, 0.1, 0.5, 1.5))
            )
            self.propose_commands(live_cluster.random.randint(1, 3))
            run_for(live_cluster, live_cluster.random.choice((STEP_SECONDS, 0.5, 1.5)))

        heal(live_cluster)
        self.check_run()

    @rule(rounds=st.integers(2, 8))
    def kill_and_write(self, rounds: int) -> None:
        """Crash processes during their writes, and restart them soon."""
        live_cluster = self.live_cluster()
        for _ in range(rounds):
            self.propose_commands(live_cluster.random.randint(1, 12))
            node = live_cluster.nodes[live_cluster.random.choice(live_cluster.names)]
            node.disk.crash = live_cluster.random.choice(("before", "after"))
            run_for(
                live_cluster, live_cluster.random.choice((STEP_SECONDS, 0.1, 0.5, 1.5))
            )
            if node.group is None:
                start_node(live_cluster, node.name)

        self.check_run()

    @rule(kind=st.sampled_from(("quiet", "restart", "late", "transfer")))
    def supersede_leader(self, kind: str) -> None:
        """Provoke an election while the leader's lease may still be valid.

        One member stops receiving from the leader and becomes a candidate; then the
        leader can reach no one. Depending on ``kind``, the others also restart,
        responses are delayed, or the leader has started a leadership transfer.
        """
        live_cluster = self.live_cluster()
        clear_faults(live_cluster)
        run_for(live_cluster, 2.0)
        for leader in lease_holders(live_cluster):
            others = [name for name in live_cluster.names if name != leader]
            live_cluster.random.shuffle(others)
            self.provoke_election(kind, leader, others)
            live_cluster.cut_links.update((leader, name) for name in others)
            if kind != "late":
                partition(live_cluster, (leader,), tuple(others))

            if kind == "restart":
                restart_all(live_cluster, others[1:])

            run_for(live_cluster, 1.0)

        clear_faults(live_cluster)
        self.check_run()

    def provoke_election(self, kind: str, leader: str, others: list[str]) -> None:
        """Cut the leader's link to one member, or transfer leadership to it."""
        live_cluster = self.live_cluster()
        if kind == "late":
            live_cluster.extra_delay[leader] = 0.3
            run_for(live_cluster, 1.0)

        if kind == "transfer":
            now = clock(live_cluster, live_cluster.nodes[leader])
            transfer_leadership(group_of(live_cluster, leader), others[0], now)
            step(live_cluster, live_cluster.random.uniform(0.0, STEP_SECONDS))
            step(live_cluster, live_cluster.delay[1])
            return

        live_cluster.cut_links.add((leader, others[0]))
        run_for(live_cluster, live_cluster.random.uniform(0.2, 0.7))

    @rule()
    def clear_all_faults(self) -> None:
        """Clear all faults for a while, so that later ones hit a healthy group."""
        clear_faults(self.live_cluster())
        run_for(self.live_cluster(), 2.0)
        self.check_run()

    @rule(number=st.integers(0, 19), seconds=DURATIONS)
    def isolate(self, number: int, seconds: float) -> None:
        """Partition one member from all others."""
        alone = self.pick_node(number).name
        rest = tuple(name for name in self.live_cluster().names if name != alone)
        partition(self.live_cluster(), (alone,), rest)
        run_for(self.live_cluster(), seconds)
        self.check_run()

    @rule(number=st.integers(0, 19), other=st.integers(0, 4))
    def cut_one_way(self, number: int, other: int) -> None:
        """Drop all messages from one member to another."""
        sender = self.pick_node(number).name
        self.live_cluster().cut_links.add(
            (sender, self.nodes()[other % self.size].name)
        )
        self.check_run()

    @rule(mask=st.integers(0, 31))
    def split(self, mask: int) -> None:
        """Partition the members into two sides."""
        names = self.live_cluster().names
        one = tuple(name for position, name in enumerate(names) if mask >> position & 1)
        other = tuple(name for name in names if name not in one)
        partition(self.live_cluster(), one, other)
        self.check_run()

    @rule(seconds=DURATIONS)
    def heal_partition(self, seconds: float) -> None:
        """Restore all links."""
        heal(self.live_cluster())
        run_for(self.live_cluster(), seconds)
        self.check_run()

    @rule(
        loss=st.sampled_from((0.0, 0.1, 0.4)), duplication=st.sampled_from((0.0, 0.3))
    )
    def set_link_faults(self, loss: float, duplication: float) -> None:
        """Lose and duplicate messages."""
        self.live_cluster().loss = loss
        self.live_cluster().duplication = duplication
        self.check_run()

    @rule(longest=st.sampled_from((0.005, 0.05, 0.3, 1.5)))
    def delay_messages(self, longest: float) -> None:
        """Delay messages by random times, so that they are reordered."""
        self.live_cluster().delay = (0.001, longest)
        self.check_run()

    @rule(number=st.integers(0, 19), when=st.sampled_from(("", "before", "after")))
    def kill(self, number: int, when: str) -> None:
        """Crash a process, now or at its next write."""
        node = self.pick_node(number)
        if when and node.group is not None:
            node.disk.crash = when
        else:
            crash(self.live_cluster(), node.name)

        self.check_run()

    @rule(number=st.integers(0, 19))
    def restart(self, number: int) -> None:
        """Restart a process that crashed or halted."""
        node = self.nodes()[number % self.size]
        if node.group is None or node.group.halted:
            node.disk.full = False
            start_node(self.live_cluster(), node.name)

        self.check_run()

    @rule(number=st.integers(0, 19), seconds=DURATIONS)
    def freeze(self, number: int, seconds: float) -> None:
        """Suspend a process; messages to it are delayed."""
        self.pick_node(number).frozen = True
        run_for(self.live_cluster(), seconds)
        self.check_run()

    @rule()
    def resume_frozen(self) -> None:
        """Resume all suspended processes."""
        for node in self.nodes():
            node.frozen = False

        self.check_run()

    @rule(number=st.integers(0, 19))
    def fill_disk(self, number: int) -> None:
        """Make every write of a member fail until it restarts."""
        self.pick_node(number).disk.full = True
        self.check_run()

    @rule(number=st.integers(0, 19))
    def erase_disk(self, number: int) -> None:
        """Erase a member's disk, if the remaining disks suffice for every quorum."""
        node = self.pick_node(number)
        if not can_lose_disk(self.nodes(), node):
            return

        lose_disk(self.live_cluster(), node.name)
        start_node(self.live_cluster(), node.name)
        self.check_run()

    @rule(number=st.integers(0, 19), seconds=DURATIONS)
    def transfer(self, number: int, seconds: float) -> None:
        """Transfer leadership."""
        target = self.nodes()[number % self.size].name
        for name in lease_holders(self.live_cluster()):
            now = clock(self.live_cluster(), self.live_cluster().nodes[name])
            transfer_leadership(group_of(self.live_cluster(), name), target, now)

        run_for(self.live_cluster(), seconds)
        self.check_run()

    def teardown(self) -> None:
        """Clear all faults; the group must recover and hold every committed command."""
        if self.cluster is None:
            return

        clear_faults(self.cluster)
        await_voters(self.cluster, limit=30.0)
        run_until(self.cluster, lambda: have_converged(self.live_cluster()), limit=30.0)
        check_logs(self.history, self.cluster)
        applied = commands(self.cluster, self.cluster.names[0])
        assert len(set(applied)) == len(applied), "a command was applied twice"
        for command, outcomes in self.proposed.items():
            assert len(outcomes) <= 1, "a proposer was notified twice"
            if outcomes and isinstance(outcomes[0], Committed):
                assert command in applied, f"committed command lost: {command!r}"


class FiveMembers(ConsensusRun):
    """The same runs with five members."""

    size = 5


def clear_faults(cluster: Cluster) -> None:
    """Clear all faults and restart members that crashed or halted."""
    heal(cluster)
    cluster.extra_delay.clear()
    cluster.loss = cluster.duplication = 0.0
    cluster.delay = (0.001, 0.005)
    for node in cluster.nodes.values():
        node.frozen = False
        node.disk.full = False
        node.disk.crash = ""
        if node.group is None or node.group.halted:
            start_node(cluster, node.name)


def has_leader_role(node: Node) -> bool:
    """Return whether a member is in the leader role, with or without the lease."""
    return node.group is not None and node.group.replica.role is Role.LEADER


def restart_all(cluster: Cluster, names: list[str]) -> None:
    """Restart members, which lose their in-memory state."""
    for name in names:
        crash(cluster, name)
        start_node(cluster, name)


def have_converged(cluster: Cluster) -> bool:
    """Return whether all members have applied the same commands."""
    states = [commands(cluster, name) for name in cluster.names]
    return all(state == states[0] for state in states)


def can_lose_disk(nodes: list[Node], lost: Node) -> bool:
    """Return whether every quorum would still include a disk with all commands.

    If more than a minority of a membership's disks is lost before the repair, any
    quorum system may lose commands; such runs would prove nothing.
    """
    held = {node.disk.loaded.member for node in nodes if node is not lost}
    for node in nodes:
        group = node.group
        if group is None:
            return False

        for membership in memberships_of(group.replica.membership, node):
            voters = membership.voters
            lost_voters = len([voter for voter in voters if voter not in held])
            if lost_voters > (len(voters) - 1) // 2:
                return False

    return True


def memberships_of(current: Membership, node: Node) -> list[Membership]:
    """Return a member's current membership and the one in its snapshot."""
    snapshot = node.disk.loaded.snapshot
    return [current, snapshot.membership] if snapshot else [current]
