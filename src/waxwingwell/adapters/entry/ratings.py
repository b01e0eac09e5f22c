"""Ratings of answers: asked of the rating service, noted as evidence."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from ...decisions.evidence import note_rating
from ...decisions.evidence import note_unrated
from ...decisions.tables import Work
from ...records import VersionId
from .upstream_client import BytesProducer


if TYPE_CHECKING:
    from .context import EntryContext


RATING_TIMEOUT = 5.0
"""Seconds; beyond them a cascade goes on without the rating."""


class RatingAsked(msgspec.Struct, frozen=True):
    """The rating service's request body."""

    version: str
    kind: str
    prompt: str
    answer: str


class RatingGiven(msgspec.Struct, frozen=True):
    """The rating service's answer; ``rating`` is 0 to 1."""

    rating: float


@dataclass(frozen=True, slots=True)
class RatedResponse:
    """An answer to be rated, and what its rating counts for."""

    work: Work
    version: VersionId
    prompt: str
    text: str
    escalated: bool = False
    """An earlier version's answer was rated too low, so this prompt is a hard one."""
    threshold: float = 0.0
    """Rating from which the answer is served; a cascade passes over lower ones."""


async def rate_answer(context: EntryContext, answer: RatedResponse) -> float | None:
    """Return the rating and note it; None if the service gives none in time."""
    work = answer.work
    asked = RatingAsked(
        version=answer.version,
        kind=work.kind.name,
        prompt=answer.prompt,
        answer=answer.text,
    )
    try:
        rating = await _fetch_rating(context, asked)
    except Exception as error:
        logger.debug("rating: No rating of {}: {}.", answer.version, error)
        context.metrics.count("ratings.missing", 1)
        note_unrated(
            context.tables,
            work.workspace,
            work.kind,
            answer.version,
            escalated=answer.escalated,
        )
        return None

    note_rating(
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


def rate_in_background(context: EntryContext, answer: RatedResponse) -> None:
    """Ask for a rating in the background; a planned stop waits for it."""
    context.pending_ratings += 1

    def forget(_: object) -> None:
        context.pending_ratings -= 1

    Deferred.fromCoroutine(rate_answer(context, answer)).addBoth(forget)


async def _fetch_rating(context: EntryContext, asked: RatingAsked) -> float:
    address = context.settings.rating
    if address is None:
        raise LookupError("no rating service in the settings")

    answering = context.client.pooled.request(
        b"POST",
        f"http://{address.host}:{address.port}/v1/ratings".encode(),
        Headers({"content-type": ["application/json"]}),
        BytesProducer(msgspec.json.encode(asked)),
    )
    answering.addTimeout(RATING_TIMEOUT, context.reactor)
    response = await answering
    data = await readBody(response)
    if response.code != 200:
        raise LookupError(f"the rating service answered {response.code}")

    return msgspec.json.decode(data, type=RatingGiven).rating
