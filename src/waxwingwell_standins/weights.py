"""Weight store: serves the weights of model versions at a limited rate."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from .listener import Listener
from .listener import Request
from .listener import close_listener
from .listener import get_reactor
from .listener import listen
from .listener import reply_error
from .program import run_program
from .settings import WeightSettings


WEIGHTS_TYPE = b"application/octet-stream"


@dataclass(slots=True)
class WeightStore:
    """A running weight store with the token bucket of its rate limit."""

    settings: WeightSettings
    tokens: float
    refilled_at: float
    served: Counter[str] = field(default_factory=Counter)
    """Number of downloads by version."""
    refused: int = 0
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


def start_weights(settings: WeightSettings) -> WeightStore:
    """Listen; the token bucket is full at the start."""
    store = WeightStore(settings, settings.burst, get_reactor().seconds())
    app = Klein()

    @app.route("/weights/<version>", methods=["GET"])
    def fetch(request: Request, version: str) -> bytes:
        if settings.versions and version not in settings.versions:
            return reply_error(
                request, status=404, code="not_found", message=f"no {version!r}"
            )

        wait = take_token(store, get_reactor().seconds())
        if wait > 0:
            store.refused += 1
            return reply_error(
                request,
                status=429,
                code="rate_limited",
                message="the weight store's rate limit is reached",
                retry_after=math.ceil(wait),
            )

        store.served[version] += 1
        request.setHeader(b"Content-Type", WEIGHTS_TYPE)
        return bytes(settings.size)

    store.listener = listen(app, port=settings.port, host=settings.host)
    return store


def take_token(store: WeightStore, now: float) -> float:
    """Take a token and return 0, or return the seconds until one is available."""
    settings = store.settings
    refill = (now - store.refilled_at) * settings.rate
    store.tokens = min(settings.burst, store.tokens + refill)
    store.refilled_at = now
    if store.tokens >= 1:
        store.tokens -= 1
        return 0.0

    return (1 - store.tokens) / settings.rate


if __name__ == "__main__":
    run_program(WeightSettings, start_weights)
