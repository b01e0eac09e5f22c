"""A random run over real members: faults of every kind, then recovery.

The same machine serves the fixed runs of the tests and the long ones of
``soak.py``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule

from tests.state.consensus.fakes import FAST
from tests.state.consensus.fakes import STEP
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
from tests.state.consensus.fakes import put
from tests.state.consensus.fakes import run_for
from tests.state.consensus.fakes import run_until
from tests.state.consensus.fakes import start_node
from tests.state.consensus.fakes import step
from tests.state.consensus.properties import Record
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


TIMES = st.sampled_from((STEP, 0.1, 0.3, 0.5, 1.0, 2.0))
DRIFT = 0.04
"""Members' clocks run by up to this much fast or slow; the margin is 0.1."""


class ConsensusRun(RuleBasedStateMachine):
    """Members that fail in any order; properties hold at every instant."""

    size: ClassVar[int] = 3
    timing: ClassVar[Timing] = FAST
    steps: ClassVar[int] = 0

    def __init__(self) -> None:
        """Make the cluster later, in ``begin``, when the seed is drawn."""
        super().__init__()
        self.record = Record()
        self.cluster: Cluster | None = None
        self.proposed: dict[bytes, list[ProposalOutcome]] = {}

    @initialize(seed=st.integers(0, 2**32))
    def begin(self, seed: int) -> None:
        """Found a group; clocks differ in rate and in offset."""
        cluster = make_cluster(self.size, seed=seed, timing=self.timing)
        self.cluster = cluster
        cluster.watch = lambda one, node: watch_node(self.record, one, node)
        cluster.watch_message = lambda one, message: watch_message(
            self.record, one, message
        )
        await_voters(cluster)
        cluster.watch = None
        for node in cluster.nodes.values():
            crash(cluster, node.name)
            node.clock_rate = 1 + cluster.random.uniform(-DRIFT, DRIFT)
            node.clock_offset = cluster.random.uniform(0, 1000)
            start_node(cluster, node.name)

        cluster.watch = lambda one, node: watch_node(self.record, one, node)

    def nodes(self) -> list[Node]:
        """Return all members in order."""
        return list(self.world().nodes.values())

    def world(self) -> Cluster:
        """Return the cluster."""
        assert self.cluster is not None
        return self.cluster

    def pick(self, number: int) -> Node:
        """Return the member that a drawn number means; half the time a leader."""
        holders = lease_holders(self.world())
        if holders and number % 2 == 0:
            return self.world().nodes[holders[0]]

        return self.nodes()[number // 2 % self.size]

    def check(self) -> None:
        """Check what is too costly for every instant."""
        type(self).steps += 1
        ConsensusRun.steps += 1
        check_logs(self.record, self.world())

    @rule(seconds=TIMES)
    def pass_time(self, seconds: float) -> None:
        """Let the members run."""
        run_for(self.world(), seconds)
        self.check()

    def write(self, count: int) -> None:
        """Propose commands at every member that thinks it leads, and at one more."""
        chosen = {node.name for node in self.nodes() if thinks_it_leads(node)}
        chosen.add(self.world().random.choice(self.world().names))
        for name in sorted(chosen):
            node = self.world().nodes[name]
            if node.group is None or node.frozen:
                continue

            for _ in range(count):
                command = b"%d" % len(self.proposed)
                self.proposed[command] = put(self.world(), name, command)

    @rule(count=st.integers(1, 40), seconds=TIMES)
    def write_and_run(self, count: int, seconds: float) -> None:
        """Propose commands and let the members run."""
        self.write(count)
        run_for(self.world(), seconds)
        self.check()

    @rule(rounds=st.integers(2, 8))
    def part_and_write(self, rounds: int) -> None:
        """Let logs part: other sides each time, with writes to every leader."""
        world = self.world()
        for _ in range(rounds):
            one = tuple(name for name in world.names if world.random.random() < 0.5)
            partition(world, one, tuple(n for n in world.names if n not in one))
            self.write(world.random.randint(1, 12))
            run_for(world, world.random.choice((STEP, 0.1, 0.5, 1.5)))
            self.write(world.random.randint(1, 3))
            run_for(world, world.random.choice((STEP, 0.5, 1.5)))

        heal(world)
        self.check()

    @rule(rounds=st.integers(2, 8))
    def kill_and_write(self, rounds: int) -> None:
        """End processes amid their writes, and start them again soon."""
        world = self.world()
        for _ in range(rounds):
            self.write(world.random.randint(1, 12))
            node = world.nodes[world.random.choice(world.names)]
            node.disk.crash = world.random.choice(("before", "after"))
            run_for(world, world.random.choice((STEP, 0.1, 0.5, 1.5)))
            if node.group is None:
                start_node(world, node.name)

        self.check()

    @rule(kind=st.sampled_from(("quiet", "restart", "late", "transfer")))
    def unseat(self, kind: str) -> None:
        """Let another be elected while the leader's lease may still hold.

        One member hears the leader no more and stands; then the leader can reach
        nobody. Besides: the others restart, answers are late, or it handed over.
        """
        world = self.world()
        mend(world)
        run_for(world, 2.0)
        for leader in lease_holders(world):
            others = [name for name in world.names if name != leader]
            world.random.shuffle(others)
            self.begin_unseating(kind, leader, others)
            world.cut.update((leader, name) for name in others)
            if kind != "late":
                partition(world, (leader,), tuple(others))

            if kind == "restart":
                restart_all(world, others[1:])

            run_for(world, 1.0)

        mend(world)
        self.check()

    def begin_unseating(self, kind: str, leader: str, others: list[str]) -> None:
        """Cut the leader's messages to one member, or hand over to it."""
        world = self.world()
        if kind == "late":
            world.far[leader] = 0.3
            run_for(world, 1.0)

        if kind == "transfer":
            now = clock(world, world.nodes[leader])
            transfer_leadership(group_of(world, leader), others[0], now)
            step(world, world.random.uniform(0.0, STEP))
            step(world, world.delay[1])
            return

        world.cut.add((leader, others[0]))
        run_for(world, world.random.uniform(0.2, 0.7))

    @rule()
    def mend_all(self) -> None:
        """End all faults for a while, so that the next ones find a working group."""
        mend(self.world())
        run_for(self.world(), 2.0)
        self.check()

    @rule(number=st.integers(0, 19), seconds=TIMES)
    def isolate(self, number: int, seconds: float) -> None:
        """Cut one member off."""
        alone = self.pick(number).name
        rest = tuple(name for name in self.world().names if name != alone)
        partition(self.world(), (alone,), rest)
        run_for(self.world(), seconds)
        self.check()

    @rule(number=st.integers(0, 19), other=st.integers(0, 4))
    def cut_one_way(self, number: int, other: int) -> None:
        """Let one member's messages to another vanish."""
        sender = self.pick(number).name
        self.world().cut.add((sender, self.nodes()[other % self.size].name))
        self.check()

    @rule(mask=st.integers(0, 31))
    def split(self, mask: int) -> None:
        """Cut the members into two sides."""
        names = self.world().names
        one = tuple(name for place, name in enumerate(names) if mask >> place & 1)
        other = tuple(name for name in names if name not in one)
        partition(self.world(), one, other)
        self.check()

    @rule(seconds=TIMES)
    def join_sides(self, seconds: float) -> None:
        """Let all reach each other again."""
        heal(self.world())
        run_for(self.world(), seconds)
        self.check()

    @rule(loss=st.sampled_from((0.0, 0.1, 0.4)), doubling=st.sampled_from((0.0, 0.3)))
    def spoil_links(self, loss: float, doubling: float) -> None:
        """Lose and double messages."""
        self.world().loss = loss
        self.world().doubling = doubling
        self.check()

    @rule(longest=st.sampled_from((0.005, 0.05, 0.3, 1.5)))
    def delay_messages(self, longest: float) -> None:
        """Delay messages, each by its own time, so that they overtake."""
        self.world().delay = (0.001, longest)
        self.check()

    @rule(number=st.integers(0, 19), when=st.sampled_from(("", "before", "after")))
    def kill(self, number: int, when: str) -> None:
        """End a process, now or at its next write."""
        node = self.pick(number)
        if when and node.group is not None:
            node.disk.crash = when
        else:
            crash(self.world(), node.name)

        self.check()

    @rule(number=st.integers(0, 19))
    def restart(self, number: int) -> None:
        """Start a process that had ended."""
        node = self.nodes()[number % self.size]
        if node.group is None or node.group.halted:
            node.disk.full = False
            start_node(self.world(), node.name)

        self.check()

    @rule(number=st.integers(0, 19), seconds=TIMES)
    def freeze(self, number: int, seconds: float) -> None:
        """Stop a process for a while; messages wait for it."""
        self.pick(number).frozen = True
        run_for(self.world(), seconds)
        self.check()

    @rule()
    def wake(self) -> None:
        """Let all frozen processes go on."""
        for node in self.nodes():
            node.frozen = False

        self.check()

    @rule(number=st.integers(0, 19))
    def fill_disk(self, number: int) -> None:
        """Let every write of a member fail until it restarts."""
        self.pick(number).disk.full = True
        self.check()

    @rule(number=st.integers(0, 19))
    def empty_disk(self, number: int) -> None:
        """Lose a disk, if as many as must are left."""
        node = self.pick(number)
        if not may_lose(self.nodes(), node):
            return

        lose_disk(self.world(), node.name)
        start_node(self.world(), node.name)
        self.check()

    @rule(number=st.integers(0, 19), seconds=TIMES)
    def transfer(self, number: int, seconds: float) -> None:
        """Hand leadership over."""
        target = self.nodes()[number % self.size].name
        for name in lease_holders(self.world()):
            now = clock(self.world(), self.world().nodes[name])
            transfer_leadership(group_of(self.world(), name), target, now)

        run_for(self.world(), seconds)
        self.check()

    def teardown(self) -> None:
        """End all faults: the group must recover and hold all that it accepted."""
        if self.cluster is None:
            return

        mend(self.cluster)
        await_voters(self.cluster, limit=30.0)
        run_until(self.cluster, lambda: in_step(self.world()), limit=30.0)
        check_logs(self.record, self.cluster)
        applied = commands(self.cluster, self.cluster.names[0])
        assert len(set(applied)) == len(applied), "a command was applied twice"
        for command, outcomes in self.proposed.items():
            assert len(outcomes) <= 1, "a proposer was answered twice"
            if outcomes and isinstance(outcomes[0], Committed):
                assert command in applied, f"accepted and lost: {command!r}"


class FiveMembers(ConsensusRun):
    """The same with five members."""

    size = 5


def mend(cluster: Cluster) -> None:
    """End every fault."""
    heal(cluster)
    cluster.far.clear()
    cluster.loss = cluster.doubling = 0.0
    cluster.delay = (0.001, 0.005)
    for node in cluster.nodes.values():
        node.frozen = False
        node.disk.full = False
        node.disk.crash = ""
        if node.group is None or node.group.halted:
            start_node(cluster, node.name)


def thinks_it_leads(node: Node) -> bool:
    """Return whether a member takes proposals, lease or not."""
    return node.group is not None and node.group.replica.role is Role.LEADER


def restart_all(cluster: Cluster, names: list[str]) -> None:
    """Restart members, which forget what they had only in memory."""
    for name in names:
        crash(cluster, name)
        start_node(cluster, name)


def in_step(cluster: Cluster) -> bool:
    """Return whether all members have applied the same commands."""
    states = [commands(cluster, name) for name in cluster.names]
    return all(state == states[0] for state in states)


def may_lose(nodes: list[Node], lost: Node) -> bool:
    """Return whether every majority would still meet a disk with all of it.

    Losing more than a minority of a membership's disks before the repair may lose
    commands by the nature of a quorum; such runs would prove nothing.
    """
    held = {node.disk.loaded.member for node in nodes if node is not lost}
    for node in nodes:
        group = node.group
        if group is None:
            return False

        for membership in memberships_of(group.replica.membership, node):
            voters = membership.voters
            gone = len([voter for voter in voters if voter not in held])
            if gone > (len(voters) - 1) // 2:
                return False

    return True


def memberships_of(current: Membership, node: Node) -> list[Membership]:
    """Return a member's membership in use and the one in its snapshot."""
    snapshot = node.disk.loaded.snapshot
    return [current, snapshot.membership] if snapshot else [current]
