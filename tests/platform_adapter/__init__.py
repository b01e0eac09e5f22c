"""Tests of the adapter to the users' platform."""

from __future__ import annotations

import sys
from pathlib import Path


# The adapter is not an installed package: its folder is named like a standard module.
sys.path.append(str(Path(__file__).resolve().parents[2] / "platform"))
