"""Ratings of responses, requested from the rating service, recorded as evidence."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from ...decisions.evidence import record_rating
from ...decisions.evidence import record_unrated
from ...decisions.tables import Work
from ...records import VersionId
from ..decoding import decode_json
from .upstream_client import BytesProducer


if TYPE_CHECKING:
    from .context import EntryContext


RATING_TIMEOUT = 5.0
"""Seconds after which a cascade continues without the rating."""


class RatingAsked(msgspec.Struct, frozen=True):
    """The rating service's request body."""

    version: str
    kind: str
    prompt: str
    answer: str


class RatingGiven(msgspec.Struct, frozen=True):
    """The rating service's response; ``rating`` is 0 to 1."""

    rating: float


@dataclass(frozen=True, slots=True)
class RatedResponse:
    """A response to be rated, with the context in which its rating counts."""

    work: Work
    version: VersionId
    prompt: str
    text: str
    escalated: bool = False
    """An earlier version's response was rated too low, so this prompt is hard."""
    threshold: float = 0.0
    """Lowest rating that is served; with a lower one a cascade continues."""


async def rate_response(context: EntryContext, answer: RatedResponse) -> float | None:
    """Return the rating and record it; None if the service has none in time."""
    work = answer.work
    rating_request = RatingAsked(
        version=answer.version,
        kind=work.kind.name,
        prompt=answer.prompt,
        answer=answer.text,
    )
    try:
        rating = await _fetch_rating(context, rating_request)
    except Exception as error:
        logger.debug("rating: Rating request for {} failed: {}.", answer.version, error)
        context.metrics.count("ratings.missing", 1)
        record_unrated(
            context.tables,
            work.workspace,
            work.kind,
            answer.version,
            escalated=answer.escalated,
        )
        return None

    record_rating(
        context.tables,
        work.workspace,
        work.kind,
        answer.version,
        rating,
        context.clock(),
        served=rating >= answer.threshold,
        escalated=answer.escalated,
    )
    return rating


def rate_in_background(context: EntryContext, response: RatedResponse) -> None:
    """Request a rating in the background; a planned stop waits for it."""
    context.pending_ratings += 1

    def decrement(_: object) -> None:
        context.pending_ratings -= 1

    Deferred.fromCoroutine(rate_response(context, response)).addBoth(decrement)


async def _fetch_rating(context: EntryContext, rating_request: RatingAsked) -> float:
    address = context.settings.rating
    if address is None:
        raise LookupError("no rating service is configured")

    pending = context.client.pooled.request(
        b"POST",
        f"http://{address.host}:{address.port}/v1/ratings".encode(),
        Headers({"content-type": ["application/json"]}),
        BytesProducer(msgspec.json.encode(rating_request)),
    )
    pending.addTimeout(RATING_TIMEOUT, context.reactor)
    response = await pending
    data = await readBody(response)
    if response.code != 200:
        raise LookupError(f"the rating service responded with status {response.code}")

    return decode_json(data, RatingGiven).rating
