"""Check whether a peer accepts connections, without sending a request."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


class CheckResult(Enum):
    """What a peer has done with a connection."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    """Its host responds, but no process listens."""
    UNANSWERED = "unanswered"


class ConnectionCheck:
    """An attempt to connect to a peer.

    ``on_result`` is called once, unless the check is cancelled, with what the peer has
    done within ``timeout`` seconds.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        address: tuple[str, int],
        timeout: float,
        on_result: Callable[[CheckResult], None],
    ) -> None:
        self._on_result = on_result
        self._ended = False
        self._connector = reactor.connectTCP(
            address[0], address[1], _CheckFactory(self), timeout=timeout
        )

    def cancel(self) -> None:
        """Cancel the check."""
        if not self._ended:
            self._ended = True
            self._connector.disconnect()

    def finish(self, result: CheckResult) -> None:
        """Report the result, once."""
        if not self._ended:
            self._ended = True
            self._on_result(result)


class _CheckProtocol(Protocol):
    def __init__(self, check: ConnectionCheck) -> None:
        self._check = check

    def connectionMade(self) -> None:  # noqa: N802
        cast("ITCPTransport", self.transport).abortConnection()
        self._check.finish(CheckResult.ACCEPTED)


class _CheckFactory(ClientFactory):
    noisy = False

    def __init__(self, check: ConnectionCheck) -> None:
        self._check = check

    def buildProtocol(self, addr: object) -> _CheckProtocol:  # noqa: N802
        return _CheckProtocol(self._check)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        refused = reason.check(Refused) is not None
        self._check.finish(CheckResult.REFUSED if refused else CheckResult.UNANSWERED)
