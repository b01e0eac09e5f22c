"""Parsing of web requests, with size limits."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import xxhash

from .callers import find_workspace
from .chats import MAX_KEY
from .chats import ChatHeaders
from .chats import make_request_id
from .checks import get_config
from .replies import JSON
from .replies import Problem
from .services import ServiceCall
from .services import find_rule
from .services import make_service_work


if TYPE_CHECKING:
    from ...records import WorkspaceConfig
    from .context import EntryContext


Request = Any
"""A ``twisted.web`` request, whose methods are untyped."""


def find_config(context: EntryContext, request: Request) -> WorkspaceConfig:
    """Return the caller's configuration; ``Problem`` 401 or 403 without one."""
    authorization = request.getHeader("authorization") or ""
    return get_config(context, find_workspace(context.keys, authorization))


def read_body(
    request: Request, context: EntryContext, config: WorkspaceConfig
) -> bytes:
    """Return the body; ``Problem`` 413 above the workspace's or the entry's limit."""
    limit = min(config.limits.max_body, context.settings.max_body)
    body: bytes = request.content.read(limit + 1)
    if len(body) > limit:
        raise Problem(
            status=413,
            code="body_too_large",
            message=f"body: more than {limit} bytes",
            param="body",
        )

    return body


def read_headers(request: Request) -> ChatHeaders:
    """Return the headers that apply to a chat."""
    return ChatHeaders(
        key=read_key(request),
        session=(request.getHeader("x-session-id") or "")[:MAX_KEY],
        kind=request.getHeader("x-work-kind") or "",
        last_event_id=request.getHeader("last-event-id") or "",
    )


def read_key(request: Request) -> str:
    """Return the request key, empty if none; ``Problem`` 400 if it is too long."""
    key: str = request.getHeader("idempotency-key") or ""
    if len(key) > MAX_KEY:
        raise Problem(
            status=400,
            code="key_too_long",
            message=f"Idempotency-Key: more than {MAX_KEY} characters",
            param="Idempotency-Key",
        )

    return key


def parse_service_call(
    context: EntryContext,
    request: Request,
    config: WorkspaceConfig,
    service: str,
    path: str,
) -> ServiceCall:
    """Return a call of a plain service; ``Problem`` 403 or 404 without a rule."""
    method = request.method.decode()
    rule = find_rule(config, service, method, path)
    body = read_body(request, context, config)
    query = request.uri.partition(b"?")[2].decode(errors="replace")
    request_id = make_request_id()
    digest = xxhash.xxh3_128()
    for part in (method, service, path, query):
        digest.update(part.encode() + b"\0")

    digest.update(body)
    return ServiceCall(
        work=make_service_work(
            request_id, config, rule, data_centre=context.settings.data_centre
        ),
        rule=rule,
        method=method,
        path=path,
        query=query,
        body=body,
        content_type=request.getHeader("content-type") or JSON,
        key=read_key(request) or request_id,
        digest=digest.hexdigest(),
    )
