"""Validation of callers' chat requests and their conversion to work."""

from __future__ import annotations

import secrets
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import xxhash
from pydantic import BaseModel
from pydantic import ConfigDict
from pydantic import Field
from pydantic import ValidationError

from ...decisions.tables import Work
from ..settings import make_findings
from .replies import Problem


if TYPE_CHECKING:
    from ...records import WorkKind
    from ...records import WorkspaceConfig


MAX_ANSWER_TOKENS = 1_000_000_000
BYTES_PER_TOKEN = 4
"""Estimated size of a token, used until the engine reports token counts."""
DEFAULT_ANSWER_TOKENS = 256
"""Assumed length of a response if the caller sets no limit."""
MAX_KEY = 200
"""Characters of a request key or session name."""
PREFIX_STEP = 1024
"""Characters by which each hashed prompt prefix is longer than the one before."""
MAX_PREFIXES = 16
"""Limit of hashed prefixes of one prompt."""
AUTO_MODEL = "auto"
"""Model name that lets the router choose; a missing name has the same effect."""


class ChatMessage(BaseModel):
    """One message of a conversation; unknown fields are passed on."""

    model_config = ConfigDict(extra="allow")

    role: str = Field(min_length=1)
    content: Any = None


class StreamOptions(BaseModel):
    """The caller's options for a stream."""

    model_config = ConfigDict(extra="allow")

    include_usage: bool = False


class ChatBody(BaseModel):
    """The fields of a chat request that the router uses."""

    model_config = ConfigDict(extra="allow")

    model: str = AUTO_MODEL
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = Field(default=None, ge=1, le=MAX_ANSWER_TOKENS)
    max_completion_tokens: int | None = Field(default=None, ge=1, le=MAX_ANSWER_TOKENS)
    session: str = Field(default="", max_length=MAX_KEY)
    kind: str = Field(default="", max_length=MAX_KEY)


@dataclass(frozen=True, slots=True)
class ChatHeaders:
    """The request headers that apply to a chat, decoded."""

    key: str = ""
    session: str = ""
    kind: str = ""
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class Chat:
    """A validated chat request."""

    work: Work
    key: str
    """Request key; the request id if the caller sent none."""
    has_caller_key: bool
    """The caller sent the key and may therefore retry the request."""
    digest: str
    fields: dict[str, Any]
    """The decoded body, forwarded with the model filled in."""
    prompt: str
    last_event_id: str = ""
    """``Last-Event-ID`` of a caller that reconnects."""


def make_request_id() -> str:
    """Return a new request id, unique across entries."""
    return f"req-{secrets.token_hex(12)}"


def parse_chat(
    body: bytes,
    headers: ChatHeaders,
    config: WorkspaceConfig,
    *,
    data_centre: str,
    deadline: float,
) -> Chat:
    """Validate a chat request; ``Problem`` lists every invalid field."""
    try:
        checked = ChatBody.model_validate_json(body)
    except ValidationError as error:
        findings = make_findings(error)
        raise Problem(
            status=400,
            code="invalid_request",
            message="; ".join(f"{item.place}: {item.message}" for item in findings),
            param=findings[0].place,
            findings=findings,
        ) from error

    fields = msgspec.json.decode(body)
    prompt = _join_prompt(checked)
    prefixes = _make_prefixes(prompt)
    kind = _find_kind(config, headers.kind or checked.kind)
    work = Work(
        request=make_request_id(),
        workspace=config.workspace,
        kind=kind,
        priority=kind.priority,
        model="" if checked.model == AUTO_MODEL else checked.model,
        session=headers.session or checked.session,
        stream=checked.stream,
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        answer_tokens=checked.max_completion_tokens
        or checked.max_tokens
        or DEFAULT_ANSWER_TOKENS,
        prefixes=tuple(digest for digest, _ in prefixes),
        prefix_tokens=tuple(tokens for _, tokens in prefixes),
        data_centre=data_centre,
        deadline=deadline,
    )
    return Chat(
        work=work,
        key=headers.key or work.request,
        has_caller_key=bool(headers.key),
        digest=xxhash.xxh3_128_hexdigest(body),
        fields=fields,
        prompt=prompt,
        last_event_id=headers.last_event_id,
    )


def make_upstream_body(chat: Chat, version: str) -> bytes:
    """Return the body for an engine: the caller's, with the version filled in."""
    fields = {
        name: value
        for name, value in chat.fields.items()
        if name not in ("session", "kind")
    }
    fields["model"] = version
    if chat.work.stream:
        fields["stream_options"] = {"include_usage": True}

    return msgspec.json.encode(fields)


def _find_kind(config: WorkspaceConfig, name: str) -> WorkKind:
    wanted = name or config.default_kind
    for kind in config.kinds:
        if kind.name == wanted:
            return kind

    if not name and config.kinds:
        return config.kinds[0]

    known = ", ".join(kind.name for kind in config.kinds) or "none"
    raise Problem(
        status=400,
        code="unknown_kind",
        message=f"kind: {wanted!r} is not a kind of work here (known: {known})",
        param="kind",
    )


def _join_prompt(body: ChatBody) -> str:
    parts = []
    for message in body.messages:
        content = message.content
        text = content if isinstance(content, str) else _encode_content(content)
        parts.append(f"{message.role}: {text}\n")

    return "".join(parts)


def _encode_content(content: Any) -> str:
    return "" if content is None else msgspec.json.encode(content).decode()


def _make_prefixes(prompt: str) -> list[tuple[str, int]]:
    """Return digests of the prompt's prefixes, longest first, with their tokens."""
    digests = []
    running = xxhash.xxh3_64()
    for start in range(0, min(len(prompt), PREFIX_STEP * MAX_PREFIXES), PREFIX_STEP):
        piece = prompt[start : start + PREFIX_STEP]
        running.update(piece.encode())
        covered = start + len(piece)
        digests.append((running.hexdigest(), covered // BYTES_PER_TOKEN))

    digests.reverse()
    return digests
