"""Time to choose an upstream, by the size of the fleet.

Run as ``python -m bench.decisions``. The baseline of the same run is a linear scan for
the upstream with the fewest requests in flight. Each result is the median of several
rounds in microseconds.
"""

from __future__ import annotations

import time
from random import Random
from statistics import median

from tabulate import tabulate

from waxwingwell.decisions.candidates import index_upstreams
from waxwingwell.decisions.tables import Tables
from waxwingwell.decisions.tables import UpstreamRow
from waxwingwell.decisions.tables import Work
from waxwingwell.decisions.tables import WorkspaceDemand
from waxwingwell.decisions.upstreams import UpstreamChoice
from waxwingwell.decisions.upstreams import choose_upstream
from waxwingwell.decisions.upstreams import record_dispatch
from waxwingwell.decisions.upstreams import record_finish
from waxwingwell.records import Announcement
from waxwingwell.records import LoadReport
from waxwingwell.records import Priority
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId


VERSION = VersionId("assistant@1")
WORKSPACES = 10
SIZES = (12, 100, 1000)
ROUNDS = 7
CHOICES = 300
KIND = WorkKind("question", Priority.QUESTION, 0.8)


def make_fleet(size: int, random: Random) -> Tables:
    """Return the tables of an entry with ``size`` upstreams under some load."""
    tables = Tables(one_way_seconds={"a": 0.0003, "b": 0.004, "c": 0.004})
    for number in range(WORKSPACES):
        name = WorkspaceId(f"w{number}")
        tables.workspaces[name] = WorkspaceConfig(name, 1, (VERSION,), ())
        tables.demand[name] = WorkspaceDemand(rate=2.0, other_entries_rate=14.0)

    for number in range(size):
        upstream = UpstreamId(f"engine-{number}")
        report = LoadReport(random.randrange(12), 0, 0, 50.0, 16_000.0)
        announcement = Announcement(
            upstream=upstream,
            incarnation=1,
            sequence=1,
            kind=UpstreamKind.MODEL,
            data_centre="abc"[number % 3],
            host="127.0.0.1",
            port=1,
            lease=5.0,
            versions=(VERSION,),
            capacity=16,
            load=report,
        )
        tables.upstreams[upstream] = UpstreamRow(announcement, 1e9, 0.0)

    index_upstreams(tables, 0.0)
    return tables


def make_turn(random: Random) -> Work:
    """Return the work of a random turn of one of 200 sessions."""
    session = f"s{random.randrange(200)}"
    turn = random.randrange(6)
    return Work(
        request=f"{session}.{turn}",
        workspace=WorkspaceId(f"w{random.randrange(WORKSPACES)}"),
        kind=KIND,
        priority=Priority.QUESTION,
        session=session,
        prompt_tokens=1000 + 300 * turn,
        prefixes=tuple(f"{session}.{at}" for at in range(turn, -1, -1)),
        prefix_tokens=tuple(1000 + 300 * at for at in range(turn, -1, -1)),
    )


def time_choices(tables: Tables, random: Random) -> float:
    """Return the mean microseconds of one choice while dispatches are recorded."""
    works = [make_turn(random) for _ in range(CHOICES)]
    draws = [random.random() for _ in works]
    seconds = 0.0
    for number, (work, draw) in enumerate(zip(works, draws, strict=True)):
        now = 1.0 + number / 100
        started = time.perf_counter()
        choice = choose_upstream(tables, work, VERSION, now=now, draw=draw)
        seconds += time.perf_counter() - started
        if isinstance(choice, UpstreamChoice):
            record_dispatch(tables, choice.upstream, work, now=now)
            record_finish(tables, choice.upstream, failed=False, now=now)

    return seconds / CHOICES * 1e6


def time_scan(tables: Tables) -> float:
    """Return the mean microseconds of a scan for the fewest requests in flight."""
    started = time.perf_counter()
    for _ in range(CHOICES):
        min(tables.upstreams.values(), key=lambda row: row.in_flight)

    return (time.perf_counter() - started) / CHOICES * 1e6


def main() -> None:
    """Measure each fleet size and print the table."""
    rows = []
    for size in SIZES:
        random = Random(size)
        tables = make_fleet(size, random)
        rounds = [time_choices(tables, random) for _ in range(ROUNDS)]
        scans = [time_scan(tables) for _ in range(ROUNDS)]
        rows.append((size, median(rounds), max(rounds), median(scans)))

    headers = ("upstreams", "choice", "slowest round", "plain scan")
    print("microseconds of one decision, median of rounds")
    print(tabulate(rows, headers=headers, floatfmt=".1f"))


if __name__ == "__main__":
    main()
