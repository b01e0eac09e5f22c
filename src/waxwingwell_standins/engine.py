"""Model engine: an OpenAI-compatible chat API with numbered, resumable streams.

``python -m waxwingwell_standins.engine --settings FILE`` runs it as a program.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from klein import Klein
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from waxwingwell.records import Announcement
from waxwingwell.records import Capabilities
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId

from .announcer import Announcer
from .announcer import start_announcer
from .chat_routes import add_chat_routes
from .faults import EngineFaults
from .jobs import JobTables
from .jobs import drop_expired_jobs
from .jobs import step_jobs
from .listener import Listener
from .listener import close_listener
from .listener import get_reactor
from .listener import listen
from .loads import LoadHistory
from .loads import record_load
from .loads import report_load
from .order_routes import add_order_routes
from .orders import OrderTable
from .orders import cancel_loads
from .prefixes import PrefixCache
from .program import run_program
from .settings import EngineSettings


@dataclass(slots=True)
class Engine:
    """A running engine; ``faults`` may be replaced while it runs."""

    settings: EngineSettings
    tables: JobTables
    orders: OrderTable
    faults: EngineFaults
    loads: LoadHistory = field(default_factory=LoadHistory)
    listener: Listener | None = None
    announcer: Announcer | None = None
    timer: DelayedCall | None = None

    @property
    def port(self) -> int:
        """TCP port of the listener."""
        return self.listener.port if self.listener else 0

    @property
    def url(self) -> str:
        """Base URL."""
        return self.listener.url if self.listener else ""

    @property
    def runs(self) -> dict[str, int]:
        """Number of runs started, by request id."""
        return self.tables.runs

    def stop(self) -> Deferred[None]:
        """Stop immediately: connections are aborted and nothing is announced."""
        return stop_engine(self)

    def leave(self) -> Deferred[None]:
        """Announce that the engine leaves; it continues to serve requests."""
        if self.announcer is None:
            raise RuntimeError("the engine has no announce settings")

        return self.announcer.leave()


def start_engine(settings: EngineSettings) -> Engine:
    """Listen, and announce the engine if it has announce settings."""
    engine = Engine(
        settings=settings,
        tables=JobTables(PrefixCache(settings.cached_prefixes)),
        orders=OrderTable(loaded=set(settings.versions)),
        faults=settings.faults,
    )
    app = Klein()
    add_chat_routes(app, engine, lambda: step_engine(engine))
    add_order_routes(app, engine)
    engine.listener = listen(app, port=settings.port, host=settings.host)
    if settings.announce is not None:
        engine.announcer = start_announcer(
            settings.announce, lambda: describe_engine(engine)
        )

    return engine


def stop_engine(engine: Engine) -> Deferred[None]:
    """Stop the listener, the announcer and the timers."""
    if engine.timer is not None and engine.timer.active():
        engine.timer.cancel()

    cancel_loads(engine.orders)
    pending = []
    if engine.listener is not None:
        pending.append(close_listener(engine.listener))

    if engine.announcer is not None:
        pending.append(engine.announcer.stop())

    return gatherResults(pending).addCallback(lambda _: None)


def step_engine(engine: Engine) -> None:
    """Run one step, and schedule the next one while there is work."""
    reactor = get_reactor()
    now = reactor.seconds()
    step_jobs(engine.tables, engine.settings, now)
    drop_expired_jobs(engine.tables, engine.settings, now)
    record_load(engine, now)
    busy = engine.tables.running or engine.tables.queue
    scheduled = engine.timer is not None and engine.timer.active()
    if busy and not scheduled:
        engine.timer = reactor.callLater(engine.settings.tick, step_engine, engine)


def describe_engine(engine: Engine) -> Announcement:
    """Return the current announcement of the engine."""
    settings = engine.settings
    if settings.announce is None:
        raise RuntimeError("the engine has no announce settings")

    return Announcement(
        upstream=UpstreamId(settings.announce.upstream),
        incarnation=0,
        sequence=0,
        kind=UpstreamKind.MODEL,
        data_centre=settings.announce.data_centre,
        host=settings.host,
        port=engine.port,
        lease=settings.announce.lease,
        versions=tuple(VersionId(name) for name in sorted(engine.orders.loaded)),
        capacity=settings.slots,
        capabilities=Capabilities(
            resume=settings.resume,
            cancel=settings.cancel,
            kv_transfer=settings.kv_transfer,
            checks_fencing=settings.checks_fencing,
        ),
        load=report_load(engine, get_reactor().seconds()),
    )


if __name__ == "__main__":
    run_program(EngineSettings, start_engine)
