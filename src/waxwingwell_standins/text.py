"""Deterministic answers: the same version and prompt give the same tokens."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Iterable


SHORTEST = 12
LONGEST = 48
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


def read_prompt(messages: Iterable[ChatMessage]) -> str:
    """Return a chat as the one text that the answer depends on."""
    return "\n".join(f"{message.role}: {message.content}" for message in messages)


def count_tokens(text: str) -> int:
    """Return the tokens of a text, by a fixed number of characters each."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def make_answer(
    version: str, prompt: str, max_tokens: int, *, min_tokens: int = 0
) -> list[str]:
    """Return the tokens that a version answers to a prompt; joined they are the text.

    ``max_tokens`` 0 or less sets no limit. Without ``min_tokens`` an answer has
    ``SHORTEST`` to ``LONGEST`` tokens, by version and prompt.
    """
    chooser = random.Random(f"{version}\n{prompt}")
    length = max(chooser.randint(SHORTEST, LONGEST), min_tokens)
    if max_tokens > 0:
        length = min(length, max_tokens)

    words = chooser.choices(WORDS, k=length)
    return [f"{word} " for word in words[:-1]] + [f"{words[-1]}."]
