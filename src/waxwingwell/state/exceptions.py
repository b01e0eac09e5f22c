"""Errors of the state layer."""

from __future__ import annotations


class StateError(Exception):
    """Base of all errors of the state layer."""


class StorageError(StateError):
    """A write or sync failed; nothing in the batch may be acknowledged."""


class CorruptStorageError(StateError):
    """The data folder holds incomplete or inconsistent data."""


class InvalidMemberError(StateError):
    """A member's name or id is not valid for the operation."""


class ImageError(StateError):
    """The bytes are not a control state image that this program can read."""
