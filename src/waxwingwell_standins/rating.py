"""Rating service: rates answers from 0 to 1 by the true quality of a version."""

from __future__ import annotations

import random
from dataclasses import dataclass

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.task import deferLater

from .listener import Listener
from .listener import Request
from .listener import close_listener
from .listener import get_reactor
from .listener import listen
from .listener import read_body
from .listener import reply_error
from .listener import reply_json
from .program import run_program
from .settings import RatingSettings


class RatingRequest(msgspec.Struct, frozen=True):
    """An answer to be rated."""

    version: str
    kind: str
    prompt: str
    answer: str


@dataclass(slots=True)
class RatingService:
    """A running rating service; its fields may be changed while it runs."""

    qualities: dict[str, float]
    """True mean rating by version, or by version and kind of work: ``version/kind``."""
    default: float
    spread: float
    delay: float
    outage: bool
    rated: int = 0
    listener: Listener | None = None

    @property
    def port(self) -> int:
        """TCP port of the listener."""
        return self.listener.port if self.listener else 0

    @property
    def url(self) -> str:
        """Base URL."""
        return self.listener.url if self.listener else ""

    def stop(self) -> Deferred[None]:
        """Stop immediately and abort open connections."""
        return close_listener(self.listener) if self.listener else succeed(None)


def start_rating(settings: RatingSettings) -> RatingService:
    """Listen and serve ratings."""
    service = RatingService(
        qualities=dict(settings.qualities),
        default=settings.default,
        spread=settings.spread,
        delay=settings.delay,
        outage=settings.outage,
    )
    app = Klein()

    @app.route("/v1/ratings", methods=["POST"])
    def rate(request: Request) -> bytes | Deferred[bytes]:
        if service.outage:
            return reply_error(
                request, status=503, code="outage", message="no ratings now"
            )

        try:
            rating_request = msgspec.json.decode(read_body(request), type=RatingRequest)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_request", message=str(error)
            )

        service.rated += 1
        body = {"rating": rate_answer(service, rating_request)}
        if service.delay <= 0:
            return reply_json(request, body)

        return deferLater(
            get_reactor(), service.delay, lambda: reply_json(request, body)
        )

    service.listener = listen(app, port=settings.port, host=settings.host)
    return service


def rate_answer(service: RatingService, rating_request: RatingRequest) -> float:
    """Return the rating, which is deterministic for a given request."""
    default_mean = service.qualities.get(rating_request.version, service.default)
    mean = service.qualities.get(
        f"{rating_request.version}/{rating_request.kind}", default_mean
    )
    text = (
        f"{rating_request.version}\n{rating_request.kind}\n"
        f"{rating_request.prompt}\n{rating_request.answer}"
    )
    noise = random.Random(text).uniform(-service.spread, service.spread)
    return min(1.0, max(0.0, mean + noise))


if __name__ == "__main__":
    run_program(RatingSettings, start_rating)
