"""Decoding of what other programs send, within what this system can pass on and store.

A value that a decoder accepts and the encoder of the links or of the log does not would
fail later, in messages that hold other members as well.
"""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping
from typing import Any
from typing import TypeVar
from typing import overload

import msgspec


ValueT = TypeVar("ValueT")

MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1
"""Range of the integers that links and logs carry."""


@overload
def decode_json(body: bytes, kind: type[ValueT]) -> ValueT: ...


@overload
def decode_json(body: bytes, kind: Any) -> Any: ...


def decode_json(body: bytes, kind: Any) -> Any:
    """Decode a JSON body of a type, which may be a union.

    Raises ``msgspec.DecodeError`` with the invalid place.
    """
    try:
        value = msgspec.json.decode(body, type=kind)
    except RecursionError as error:
        raise msgspec.DecodeError("JSON is nested too deeply") from error

    for problem in find_problems(value, "$"):
        raise msgspec.ValidationError(problem)

    return value


def find_problems(value: Any, place: str) -> Iterator[str]:
    """Yield a message for each number in a decoded value that can't be passed on."""
    if isinstance(value, int):
        if not MIN_INTEGER <= value <= MAX_INTEGER:
            yield f"Integer value out of range - at `{place}`"
    elif isinstance(value, msgspec.Struct):
        for name in value.__struct_fields__:
            yield from find_problems(getattr(value, name), f"{place}.{name}")
    elif isinstance(value, Mapping):
        for key, member in value.items():
            yield from find_problems(member, f"{place}[{key!r}]")
    elif isinstance(value, list | tuple):
        for index, member in enumerate(value):
            yield from find_problems(member, f"{place}[{index}]")
