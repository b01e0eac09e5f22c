"""Stand-in engines and services of the embedded role."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from waxwingwell_standins.engine import Engine
from waxwingwell_standins.engine import start_engine
from waxwingwell_standins.rating import RatingService
from waxwingwell_standins.rating import start_rating
from waxwingwell_standins.service import Service
from waxwingwell_standins.service import start_service
from waxwingwell_standins.settings import AnnounceSettings
from waxwingwell_standins.settings import EngineSettings
from waxwingwell_standins.settings import RatingSettings
from waxwingwell_standins.settings import ServiceSettings

from ..records import VersionId
from ..records import VersionSpec
from ..records import VersionStatus


DATA_CENTRE = "local"
SERVICE = "bookings"
TOKEN_INTERVAL = 0.01
"""Seconds between two tokens that a stand-in engine generates."""


@dataclass(slots=True)
class Fleet:
    """The running stand-in upstreams and rating service."""

    engines: list[Engine]
    service: Service
    rating: RatingService


def list_versions() -> tuple[VersionSpec, ...]:
    """Return the versions of the demo: of a cheap model and of a better, dearer one."""
    return (
        _make_spec("small@1", price=1.0, quality=0.74),
        _make_spec("small@2", price=1.0, quality=0.74, status=VersionStatus.CANDIDATE),
        _make_spec("large@1", price=10.0, quality=0.9),
        _make_spec("large@2", price=10.0, quality=0.9),
    )


def start_rating_service(*, port: int = 0) -> RatingService:
    """Start the rating service with the true quality of each version."""
    qualities = {"small@1": 0.74, "small@2": 0.78, "large@1": 0.9, "large@2": 0.92}
    return start_rating(RatingSettings(port=port, qualities=qualities, spread=0.08))


def start_fleet(announce_url: str, rating: RatingService) -> Fleet:
    """Start two engines and a plain service, which announce themselves at a URL."""
    versions = tuple(str(spec.version) for spec in list_versions())
    engines = [
        start_engine(
            EngineSettings(
                versions=versions,
                token_interval=TOKEN_INTERVAL,
                announce=_make_announce_settings(f"engine-{number}", announce_url),
            )
        )
        for number in (1, 2)
    ]
    service = start_service(
        ServiceSettings(
            service=SERVICE,
            announce=_make_announce_settings("bookings-1", announce_url),
        )
    )
    return Fleet(engines=engines, service=service, rating=rating)


async def stop_fleet(fleet: Fleet) -> None:
    """Stop all stand-ins of the fleet."""
    stand_ins: list[Any] = [*fleet.engines, fleet.service, fleet.rating]
    for stand_in in stand_ins:
        await stand_in.stop()


def _make_announce_settings(name: str, url: str) -> AnnounceSettings:
    return AnnounceSettings(upstream=name, data_centre=DATA_CENTRE, entries=(url,))


def _make_spec(
    version: str,
    *,
    price: float,
    quality: float,
    status: VersionStatus = VersionStatus.ACTIVE,
) -> VersionSpec:
    return VersionSpec(
        version=VersionId(version),
        model=version.partition("@")[0],
        price_in=price,
        price_out=price * 2,
        quality_prior=quality,
        status=status,
    )
