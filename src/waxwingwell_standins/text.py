"""Deterministic responses: the same version and prompt give the same tokens."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Iterable


MIN_RESPONSE_TOKENS = 12
MAX_RESPONSE_TOKENS = 48
CHARACTERS_PER_TOKEN = 4
VOCABULARY = (
    "shaft loft grip swing lie bounce carry spin tempo launch face path bin fan "
    "tuber shed vent dew probe alarm cool store sprout summary claim"
)
WORDS = tuple(VOCABULARY.split())


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str = ""


def join_messages(messages: Iterable[ChatMessage]) -> str:
    """Join the messages of a chat into one prompt, on which the response depends."""
    return "\n".join(f"{message.role}: {message.content}" for message in messages)


def count_tokens(text: str) -> int:
    """Estimate the tokens of a text, at ``CHARACTERS_PER_TOKEN`` characters each."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def generate_tokens(
    version: str, prompt: str, max_tokens: int, *, min_tokens: int = 0
) -> list[str]:
    """Generate the response tokens of a version for a prompt.

    The response text is the concatenation of the tokens. A ``max_tokens`` of 0 or
    less sets no limit. Without ``min_tokens``, a response has
    ``MIN_RESPONSE_TOKENS`` to ``MAX_RESPONSE_TOKENS`` tokens, depending on version
    and prompt.
    """
    rng = random.Random(f"{version}\n{prompt}")
    length = max(rng.randint(MIN_RESPONSE_TOKENS, MAX_RESPONSE_TOKENS), min_tokens)
    if max_tokens > 0:
        length = min(length, max_tokens)

    words = rng.choices(WORDS, k=length)
    return [f"{word} " for word in words[:-1]] + [f"{words[-1]}."]
