"""Errors of the state layer."""

from __future__ import annotations


class StateError(Exception):
    """Base of all errors of the state layer."""


class StorageError(StateError):
    """A write or sync failed; nothing of the batch may be promised."""


class CorruptStorageError(StateError):
    """The data folder holds something that was never written whole."""


class InvalidMemberError(StateError):
    """A member's name can't be used; the message says why."""


class ImageError(StateError):
    """The bytes are no image of the control state that this program reads."""
