"""An engine for benchmarks with canned responses and numbered events.

It does as little work as HTTP allows. ``python -m bench.upstream PORT INTERVAL EVENTS
[ENTRY_URL NAME]`` serves until it is terminated; given an entry's URL, it announces
itself there under NAME.
"""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from twisted.internet import reactor as installed
from twisted.internet.task import LoopingCall
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET
from twisted.web.server import Site

from waxwingwell.records import Announcement
from waxwingwell.records import Capabilities
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import VersionId
from waxwingwell_standins.announcer import start_announcer
from waxwingwell_standins.settings import AnnounceSettings


reactor: Any = installed
VERSION = "swift@1"
VERSIONS = ("swift@1", "swift@2", "heron@1", "heron@2")
PATH = "/v1/chat/completions"
COMPLETE = msgspec.json.encode(
    {
        "id": "chatcmpl-bench",
        "object": "chat.completion",
        "created": 0,
        "model": VERSION,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": "a canned answer " * 8},
                "finish_reason": "stop",
            }
        ],
        "usage": {"prompt_tokens": 8, "completion_tokens": 32, "total_tokens": 40},
    }
)
CHUNK = (
    b'data: {"id":"chatcmpl-bench","object":"chat.completion.chunk","created":0,'
    b'"model":"swift@1","choices":[{"index":0,"delta":{"content":"token "},'
    b'"finish_reason":null}]}\n\n'
)
USAGE = (
    b'data: {"id":"chatcmpl-bench","object":"chat.completion.chunk","created":0,'
    b'"model":"swift@1","choices":[],"usage":{"prompt_tokens":8,'
    b'"completion_tokens":32,"total_tokens":40}}\n\n'
)
DONE = b"data: [DONE]\n\n"


class CannedEngine(Resource):
    """Responds to every chat with the same text, at once or as a stream of events."""

    isLeaf = True  # noqa: N815

    def __init__(self, interval: float, events: int) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.interval = interval
        self.events = events

    def render_POST(self, request: Any) -> Any:  # noqa: N802
        """Respond to a chat."""
        name = request.getHeader("x-request-id") or "req-bench"
        request.setHeader("x-request-id", name)
        if b'"stream":true' not in request.content.read().replace(b" ", b""):
            request.setHeader("content-type", "application/json")
            return COMPLETE

        request.setHeader("content-type", "text/event-stream")
        self.write_stream(request, name.encode())
        return NOT_DONE_YET

    def write_stream(self, request: Any, name: bytes) -> None:
        """Write one event per interval, then usage and the end of the stream."""
        sent = [0]
        loop = LoopingCall(lambda: step())

        def step() -> None:
            sent[0] += 1
            head = b"id: %s:%d\n" % (name, sent[0])
            if sent[0] <= self.events:
                request.write(head + CHUNK)
                return

            end = b"id: %s:%d\n" % (name, sent[0] + 1)
            request.write(head + USAGE + end + DONE)
            request.finish()
            loop.stop()

        def stop(_: object) -> None:
            if loop.running:
                loop.stop()

        request.notifyFinish().addErrback(stop)
        loop.start(self.interval)


def main() -> None:
    """Serve until terminated."""
    port, interval, events = sys.argv[1:4]
    engine = CannedEngine(float(interval), int(events))
    site: Any = Site(engine)
    site.log = lambda request: None
    reactor.listenTCP(int(port), site, interface="127.0.0.1")
    if len(sys.argv) > 4:
        announce(int(port), sys.argv[4], sys.argv[5])

    reactor.run()


def announce(port: int, url: str, name: str) -> None:
    """Announce this engine to an entry."""
    settings = AnnounceSettings(upstream=name, data_centre="bole", entries=(url,))

    def describe() -> Announcement:
        return Announcement(
            upstream=UpstreamId(name),
            incarnation=0,
            sequence=0,
            kind=UpstreamKind.MODEL,
            data_centre="bole",
            host="127.0.0.1",
            port=port,
            lease=3.0,
            versions=tuple(VersionId(name) for name in VERSIONS),
            capacity=10_000,
            capabilities=Capabilities(resume=False),
        )

    start_announcer(settings, describe)


if __name__ == "__main__":
    main()
