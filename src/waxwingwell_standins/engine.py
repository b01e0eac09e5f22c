"""Model engine: OpenAI-shape chat with numbered, resumable streams.

``python -m waxwingwell_standins.engine --settings FILE`` runs it alone.
"""

from __future__ import annotations

import uuid
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
from klein import Klein
from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from waxwingwell.records import Announcement
from waxwingwell.records import Capabilities
from waxwingwell.records import LoadReport
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId

from .announcer import Announcer
from .announcer import start_announcer
from .faults import EngineFaults
from .faults import take_faults
from .jobs import JobTables
from .jobs import cancel_job
from .jobs import forget_jobs
from .jobs import make_job
from .jobs import queue_job
from .jobs import step_jobs
from .listener import REQUEST_ID_HEADER
from .listener import Listener
from .listener import Request
from .listener import close_listener
from .listener import get_header
from .listener import get_reactor
from .listener import listen
from .listener import read_body
from .listener import reply_error
from .listener import reply_json
from .orders import LoadOrder
from .orders import OrderTable
from .orders import obey_order
from .orders import stop_loads
from .prefixes import PrefixCache
from .program import run_program
from .settings import EngineSettings
from .text import ChatMessage
from .text import read_prompt
from .watchers import watch_stream
from .watchers import watch_whole


if TYPE_CHECKING:
    from .jobs import Job


Body = bytes | Deferred[None]
PRIORITY_HEADER = "X-Priority"
FENCING_HEADER = "X-Fencing"
REFUSAL_DELAY = 1.0


class ChatRequest(msgspec.Struct, frozen=True):
    """The fields of a chat completion request that the engine reads."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    min_tokens: int = 0


@dataclass(slots=True)
class Engine:
    """A running engine; ``faults`` may be replaced while it runs."""

    settings: EngineSettings
    tables: JobTables
    orders: OrderTable
    faults: EngineFaults
    loads: deque[tuple[float, LoadReport]] = field(default_factory=deque)
    """Loads as measured, oldest first, for reports that lag."""
    listener: Listener | None = None
    announcer: Announcer | None = None
    timer: DelayedCall | None = None

    @property
    def port(self) -> int:
        """TCP port of the listener."""
        return self.listener.port if self.listener else 0

    @property
    def url(self) -> str:
        """Base address."""
        return self.listener.url if self.listener else ""

    @property
    def runs(self) -> dict[str, int]:
        """Runs begun, by request id."""
        return self.tables.runs

    def stop(self) -> Deferred[None]:
        """Stop at once: connections are cut, nothing is announced."""
        return stop_engine(self)

    def leave(self) -> Deferred[None]:
        """Announce that the engine leaves; it goes on serving."""
        if self.announcer is None:
            raise RuntimeError("the engine does not announce itself")

        return self.announcer.leave()


def start_engine(settings: EngineSettings) -> Engine:
    """Listen, and announce the engine if the settings say so."""
    engine = Engine(
        settings=settings,
        tables=JobTables(PrefixCache(settings.cached_prefixes)),
        orders=OrderTable(loaded=set(settings.versions)),
        faults=settings.faults,
    )
    app = Klein()
    add_chat_routes(app, engine)
    add_order_routes(app, engine)
    engine.listener = listen(app, port=settings.port, host=settings.host)
    if settings.announce is not None:
        engine.announcer = start_announcer(
            settings.announce, lambda: describe_engine(engine)
        )

    return engine


def stop_engine(engine: Engine) -> Deferred[None]:
    """Stop listener, announcer and timers."""
    if engine.timer is not None and engine.timer.active():
        engine.timer.cancel()

    stop_loads(engine.orders)
    waits = []
    if engine.listener is not None:
        waits.append(close_listener(engine.listener))

    if engine.announcer is not None:
        waits.append(engine.announcer.stop())

    return gatherResults(waits).addCallback(lambda _: None)


def step_engine(engine: Engine) -> None:
    """Run one step and come back while there is work."""
    reactor = get_reactor()
    now = reactor.seconds()
    step_jobs(engine.tables, engine.settings, now)
    forget_jobs(engine.tables, engine.settings, now)
    note_load(engine, now)
    busy = engine.tables.running or engine.tables.queue
    waiting = engine.timer is not None and engine.timer.active()
    if busy and not waiting:
        engine.timer = reactor.callLater(engine.settings.tick, step_engine, engine)


def add_chat_routes(app: Klein, engine: Engine) -> None:
    """Add chat completions, resume and cancel."""

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(request: Request) -> Body:
        faults = take_faults(engine.faults)
        if faults.refuse:
            return refuse_work(request)

        try:
            chat = msgspec.json.decode(read_body(request), type=ChatRequest)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_request", message=str(error)
            )

        if chat.model not in engine.orders.loaded:
            return refuse_version(request, chat.model)

        job = take_chat(engine, request, chat)
        watch = watch_stream if chat.stream else watch_whole
        done = watch(request, job, faults, on_lost=lambda: abandon_job(engine, job))
        step_engine(engine)
        return done

    @app.route("/v1/streams/<name>", methods=["GET"])
    def resume(request: Request, name: str) -> Body:
        job = engine.tables.jobs.get(name)
        if job is None or not engine.settings.resume:
            return refuse_stream(request, name)

        args: dict[bytes, list[bytes]] = request.args or {}
        after = args.get(b"after", [b"0"])[0]
        if not after.isdigit():
            return reply_error(
                request, status=400, code="bad_after", message="after: not a number"
            )

        return watch_stream(
            request,
            job,
            take_faults(engine.faults),
            after=int(after),
            on_lost=lambda: abandon_job(engine, job),
        )

    @app.route("/v1/streams/<name>", methods=["DELETE"])
    def cancel(request: Request, name: str) -> Body:
        job = engine.tables.jobs.get(name)
        if job is None or not engine.settings.cancel:
            return refuse_stream(request, name)

        cancel_job(engine.tables, job, get_reactor().seconds())
        body = {"request": name, "status": job.status.value, "usage": job.usage}
        return reply_json(request, body)


def add_order_routes(app: Klein, engine: Engine) -> None:
    """Add orders to load versions, and the load report."""

    @app.route("/v1/versions", methods=["PUT"])
    def order(request: Request) -> Body:
        try:
            wanted = msgspec.json.decode(read_body(request), type=LoadOrder)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_order", message=str(error)
            )

        header = get_header(request, FENCING_HEADER)
        if header and header != str(wanted.fencing):
            message = f"{FENCING_HEADER} is {header}, the body says {wanted.fencing}"
            return reply_error(
                request, status=400, code="fencing_mismatch", message=message
            )

        if not obey_order(engine.orders, engine.settings, wanted):
            message = f"fencing number {engine.orders.fencing} was seen"
            return reply_error(
                request, status=409, code="fencing_too_low", message=message
            )

        return reply_json(request, describe_orders(engine))

    @app.route("/v1/versions", methods=["GET"])
    def show_versions(request: Request) -> Body:
        return reply_json(request, describe_orders(engine))

    @app.route("/v1/load", methods=["GET"])
    def show_load(request: Request) -> Body:
        return reply_json(request, report_load(engine, get_reactor().seconds()))


def take_chat(engine: Engine, request: Request, chat: ChatRequest) -> Job:
    """Queue the job of a chat request."""
    name = get_header(request, REQUEST_ID_HEADER) or uuid.uuid4().hex
    job = make_job(
        name,
        chat.model,
        read_prompt(chat.messages),
        max_tokens=chat.max_completion_tokens or chat.max_tokens or 0,
        min_tokens=chat.min_tokens,
        priority=get_header(request, PRIORITY_HEADER),
    )
    queue_job(engine.tables, job)
    return job


def abandon_job(engine: Engine, job: Job) -> None:
    """Give up a job whose caller has gone, unless the caller can resume it."""
    if engine.settings.resume or job.watchers:
        return

    cancel_job(engine.tables, job, get_reactor().seconds())


def refuse_work(request: Request) -> bytes:
    """Refuse before anything ran."""
    return reply_error(
        request,
        status=503,
        code="overloaded",
        message="the engine takes no work now; nothing was run",
        retry_after=REFUSAL_DELAY,
        not_run=True,
    )


def refuse_version(request: Request, model: str) -> bytes:
    """Refuse a version that is not loaded."""
    message = f"model: {model!r} is not loaded"
    return reply_error(
        request, status=404, code="model_not_found", message=message, not_run=True
    )


def refuse_stream(request: Request, name: str) -> bytes:
    """Refuse a stream that is not known (any more)."""
    message = f"stream {name!r} is not known"
    return reply_error(request, status=404, code="stream_not_found", message=message)


def describe_orders(engine: Engine) -> dict[str, object]:
    """Return what is loaded, what is loading, and the highest fencing number."""
    return {
        "fencing": engine.orders.fencing,
        "versions": sorted(engine.orders.loaded),
        "loading": sorted(engine.orders.loading),
    }


def note_load(engine: Engine, now: float) -> None:
    """Keep the present load; drop what is older than the report's lag."""
    running = engine.tables.running
    waiting = [item[2] for item in engine.tables.queue if not item[2].ended]
    interval = engine.settings.token_interval
    backlog = sum(len(job.tokens) - job.made for job in running + waiting)
    load = LoadReport(
        running=len(running),
        queued=len(waiting),
        backlog_tokens=backlog,
        tokens_per_second=1.0 / interval if interval > 0 else 0.0,
        prefill_per_second=engine.settings.prefill_rate,
    )
    engine.loads.append((now, load))
    over = now - engine.settings.load_lag
    while len(engine.loads) > 1 and engine.loads[1][0] <= over:
        engine.loads.popleft()


def report_load(engine: Engine, now: float) -> LoadReport:
    """Return the load as it was ``load_lag`` seconds ago."""
    note_load(engine, now)
    return replace(engine.loads[0][1], age=now - engine.loads[0][0])


def describe_engine(engine: Engine) -> Announcement:
    """Return the engine's announcement as of now."""
    settings = engine.settings
    if settings.announce is None:
        raise RuntimeError("the engine does not announce itself")

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
