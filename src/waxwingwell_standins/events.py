"""Server-sent events and complete responses in the format of the OpenAI API."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec


if TYPE_CHECKING:
    from collections.abc import Sequence


DONE = b"[DONE]"


def encode_event(request: str, number: int, data: bytes) -> bytes:
    """Encode one numbered event; numbers start at 1."""
    return b"id: %b:%d\ndata: %b\n\n" % (request.encode(), number, data)


def encode_token(request: str, version: str, token: str, *, first: bool) -> bytes:
    """Encode the chunk that carries one token."""
    delta = {"content": token}
    if first:
        delta = {"role": "assistant", "content": token}

    choice = {"index": 0, "delta": delta, "finish_reason": None}
    return encode_chunk(request, version, choices=[choice])


def encode_finish(request: str, version: str, reason: str) -> bytes:
    """Encode the chunk that carries the finish reason."""
    choice = {"index": 0, "delta": {}, "finish_reason": reason}
    return encode_chunk(request, version, choices=[choice])


def encode_chunk(
    request: str,
    version: str,
    *,
    choices: Sequence[object],
    usage: dict[str, Any] | None = None,
) -> bytes:
    """Encode one chunk as JSON."""
    chunk: dict[str, object] = {
        "id": f"chatcmpl-{request}",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": version,
        "choices": choices,
    }
    if usage is not None:
        chunk["usage"] = usage

    return msgspec.json.encode(chunk)


def make_usage(
    prompt_tokens: int, completion_tokens: int, cached_tokens: int
) -> dict[str, Any]:
    """Return the usage object; ``cached_tokens`` of the prompt needed no prefill."""
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": prompt_tokens + completion_tokens,
        "prompt_tokens_details": {"cached_tokens": cached_tokens},
    }


def encode_complete_response(
    request: str, version: str, text: str, reason: str, usage: dict[str, Any]
) -> bytes:
    """Encode a complete, non-streaming response as JSON."""
    message = {"role": "assistant", "content": text}
    return msgspec.json.encode(
        {
            "id": f"chatcmpl-{request}",
            "object": "chat.completion",
            "created": 0,
            "model": version,
            "choices": [{"index": 0, "message": message, "finish_reason": reason}],
            "usage": usage,
        }
    )
