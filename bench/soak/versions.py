"""Versions of upstreams, each with a flaw or without one, and trouble of all versions.

A flaw belongs to a version and is a reason to roll it back; trouble strikes upstreams
whatever their version.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    import random


MIN_SHARE = 0.3
MAX_SHARE = 0.6
"""Bounds of the share of the requests in question that a flaw strikes."""
SLOWDOWNS = (4.0, 8.0)
CROWDS = (2, 3)
"""Requests at once that an upstream bears, if its version fails under load."""
LATE_PARTS = (0.1, 0.6)
"""Parts of the duration of a roll-out between which a late flaw begins."""
GOOD_SHARE = 0.4
"""Share of the versions that have no flaw."""
STREAM_SERVICE = "chat"
"""The service whose requests last long enough to run beside each other."""
EITHER_WAY = frozenset({"one kind", "late"})
"""Flaws by which versions either fail or are slow."""
KINDS = ("order", "read")
"""Kinds of requests of the other service."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Version:
    """A version of a service; without shares it is good."""

    name: str = "v1"
    flaw: str = ""
    """Name of the flaw."""
    failed_share: float = 0.0
    slow_share: float = 0.0
    slowdown: float = 1.0
    """Factor on the times of slow responses."""
    crowd: int = 0
    """Requests at once at an upstream up to which the flaw does not strike."""
    kind: str = ""
    """The only kind of requests that the flaw strikes, if it is not empty."""
    bad_from: float = 0.0
    """Time from which on the flaw strikes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Trouble:
    """What an upstream suffers from, whatever its version."""

    failed_share: float = 0.0
    slowdown: float = 1.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Effect:
    """What becomes of one response."""

    fails: bool = False
    slowdown: float = 1.0
    is_flawed: bool = False
    """Whether the version is to blame."""


NO_EFFECT = Effect()
NO_TROUBLE = Trouble()


def is_struck(version: Version, path: str, running: int, now: float) -> bool:
    """Return whether a version's flaw may strike a request.

    ``running`` is the number of requests at the upstream, this one included.
    """
    if not version.flaw or now < version.bad_from or running <= version.crowd:
        return False

    return not version.kind or path.startswith(f"/{version.kind}/")


def draw_effect(
    version: Version,
    trouble: Trouble,
    path: str,
    running: int,
    now: float,
    rng: random.Random,
) -> Effect:
    """Return what becomes of the response to a request."""
    if is_struck(version, path, running, now):
        draw = rng.random()
        if draw < version.failed_share:
            return Effect(fails=True, is_flawed=True)

        if draw < version.failed_share + version.slow_share:
            return Effect(slowdown=version.slowdown * trouble.slowdown, is_flawed=True)

    if trouble == NO_TROUBLE:
        return NO_EFFECT

    fails = rng.random() < trouble.failed_share
    return Effect(fails=fails, slowdown=trouble.slowdown)


def draw_version(
    rng: random.Random, name: str, service: str, duration: float, now: float
) -> Version:
    """Return a version whose roll-out of ``duration`` seconds is ordered now."""
    if rng.random() < GOOD_SHARE:
        return Version(name=name)

    special = "under load" if service == STREAM_SERVICE else "one kind"
    flaw = rng.choice(["fails", "slow", special, "late"])
    is_slow = flaw == "slow" or (flaw in EITHER_WAY and rng.random() < 0.5)
    draw = draw_slow_version if is_slow else draw_failing_version
    version = draw(rng, name, flaw)
    if flaw == "under load":
        return replace(version, crowd=rng.choice(CROWDS))

    if flaw == "one kind":
        return replace(version, kind=rng.choice(KINDS))

    if flaw == "late":
        return replace(version, bad_from=now + duration * rng.uniform(*LATE_PARTS))

    return version


def draw_failing_version(rng: random.Random, name: str, flaw: str) -> Version:
    """Return a version that fails a share of its requests."""
    return Version(name=name, flaw=flaw, failed_share=draw_share(rng))


def draw_slow_version(rng: random.Random, name: str, flaw: str) -> Version:
    """Return a version that is slow for a share of its requests."""
    return Version(
        name=name,
        flaw=flaw,
        slow_share=draw_share(rng),
        slowdown=rng.choice(SLOWDOWNS),
    )


def draw_share(rng: random.Random) -> float:
    """Return the share of requests that a flaw strikes."""
    return rng.uniform(MIN_SHARE, MAX_SHARE)


def repair(version: Version) -> Version:
    """Return a version without its flaw."""
    return Version(name=version.name)
